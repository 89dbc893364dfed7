package sample

import "time"

// Arrival is the body of a call to /arrivals of the service dispatch-api.
type Arrival struct {
	Convoy    string `json:"convoy"`
	Camp      string `json:"camp"`
	Status    string `json:"status"`
	ArrivesAt string `json:"arrivesAt"`
	Trucks    int    `json:"trucks"`
	Cargo     string `json:"cargo"`
	Contact   string `json:"contact"`
}

// Lists of places and words. They must not be modified.
var (
	depots = []string{"Gudang Gedebage", "Gudang Cimahi", "Gudang Jatinangor", "Gudang Pelabuhan Cirebon", "Gudang Cicalengka"}
	camps  = []string{
		"Posko Cugenang", "Posko Pacet", "Posko Warungkondang", "Posko Cilawu", "Posko Wado", "Posko Pangalengan",
		"Posko Cibeureum", "Posko Jalaksana", "Posko Palimanan", "Posko Ujungjaya", "Posko Talegong", "Posko Cidaun",
	}
	roads = []string{
		"Jalan Raya Nagreg", "Jalan Cadas Pangeran", "Jalan Raya Puncak", "Tol Cipularang", "Tol Cisumdawu", "Tol Cipali",
		"Jalan Lingkar Selatan Garut", "Jalan Raya Rajapolah", "Jalan Ciwidey Rancabali", "Jalan Raya Wado Malangbong",
		"Jalan Raya Cianjur Sukabumi", "Jalan Raya Kuningan Cirebon",
	}
	bridges = []string{
		"Jembatan Cikereteg", "Jembatan Cisomang", "Jembatan Cihaurbeuti", "Jembatan Leuwigoong", "Jembatan Cimanuk Wado",
		"Jembatan Citarum Rajamandala", "Jembatan Cipamingkis", "Jembatan Ciloseh",
	}
	cargo = []string{
		"insulin and cold boxes", "oral rehydration salts", "tents for families", "drinking water in jerrycans", "rice and canned fish",
		"generator sets and diesel", "hygiene kits", "blankets and mats", "surgical sets", "infant formula", "water purification tablets",
	}
	roadStates = []string{
		"one lane open under police control", "closed by a landslide, clearing until evening", "open, heavy traffic both ways",
		"open to trucks under 10 tonnes", "surface washed out on the left side, pass at walking speed", "open, fog below 50 m of sight",
		"closed at night from 20:00 to 05:00", "detour signed through the village road",
	}
	sources = []string{"Satlantas Polres", "BPBD Jawa Barat", "driver by radio", "Dinas Perhubungan", "field liaison officer", "Jasa Marga patrol"}
)

// Brief returns a prompt for a corridor plan from a manifest with the given number of
// trucks and the same number of road reports. A truck and a report together have about 45
// tokens.
func Brief(seed uint64, trucks int) string {
	w := newWriter(seed)
	w.line("You plan relief convoys in Jawa Barat. Write a corridor plan for the convoy below: the road for each truck, the order")
	w.line("of departure, which bridges each truck may cross with its load, where to hold, and a second road should the first close.")
	w.line("State for each leg how old the report is on which it rests. Medicine that must stay cold goes first.")
	w.line("")
	w.line("MANIFEST, convoy LRL-%04d, loaded at %s", w.between(1000, 9999), w.pick(depots))
	for truck := range trucks {
		w.line("Truck %02d, plate D %d %s: %s, %d packages, gross %d.%d t on %d axles, from %s to %s, ready at %s, driver rest due at %s.",
			truck+1, w.between(1000, 9999), w.pick([]string{"AB", "XY", "UC", "ZR", "VK"}), w.pick(cargo), w.between(40, 900),
			w.between(6, 23), w.between(0, 9), w.between(2, 4), w.pick(depots), w.pick(camps), clock(4*time.Hour, w.between(0, 180)), clock(11*time.Hour, w.between(0, 240)))
	}
	w.line("")
	w.line("ROAD REPORTS, oldest first")
	for report := range trucks {
		w.line("%s, %s km %d: %s. Source: %s. Next bridge %s, posted limit %d t, water %d cm below the deck.",
			clock(time.Hour, report*2), w.pick(roads), w.between(2, 96), w.pick(roadStates), w.pick(sources), w.pick(bridges), w.between(8, 30), w.between(20, 310))
	}
	w.line("")
	w.line("PLAN:")
	return w.String()
}

// Ping returns an update on the arrival of a convoy at a camp.
func Ping(seed uint64) Arrival {
	w := newWriter(seed)
	return Arrival{
		Convoy:    "LRL-" + digits(w, 4),
		Camp:      w.pick(camps),
		Status:    w.pick([]string{"approaching", "delayed", "arrived", "held at checkpoint"}),
		ArrivesAt: clock(6*time.Hour, w.between(0, 600)),
		Trucks:    w.between(2, 14),
		Cargo:     w.pick(cargo),
		Contact:   "field liaison officer, channel " + digits(w, 2),
	}
}

// digits returns a random number with the given number of digits as text.
func digits(w *writer, count int) string {
	text := make([]byte, count)
	for i := range text {
		text[i] = byte('0' + w.random.IntN(10))
	}
	return string(text)
}
