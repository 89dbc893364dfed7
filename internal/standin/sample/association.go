package sample

import "time"

// TipPayment is the body of a call to /tips of the service liquidacion.
type TipPayment struct {
	Tab      string `json:"tab"`
	Bar      string `json:"bar"`
	Waiter   string `json:"waiter"`
	Amount   int    `json:"amountPesos"`
	Acquirer string `json:"acquirer"`
	Night    string `json:"night"`
}

// Lists of places and words. They must not be modified.
var (
	bars = []string{
		"Taberna La Candelilla, Chapinero", "Bar Doña Ceci, Usaquén", "El Tiple Azul, Teusaquillo", "Cervecería Puente Largo, Fontibón",
		"La Rockola de Inés, Chapinero", "Tienda y Bar El Zaguán, Usaquén", "Bar Los Mártires, Teusaquillo",
	}
	waiters   = []string{"Yuli Andrade", "Camilo Ñustes", "Paola Rincón", "Édgar Sua", "Marcela Bejarano", "Jhon Fredy Lasso", "Nubia Cárdenas"}
	patrons   = []string{"tarjeta 4417", "tarjeta 9026", "tarjeta 3350", "tarjeta 7781", "efectivo", "tarjeta 1204"}
	acquirers = []string{"Banco Cordillera", "Redpago Sabana", "Banco del Altiplano"}
	items     = []string{
		"cerveza artesanal roja", "media de aguardiente", "canelazo", "picada para dos", "empanadas x6", "gaseosa", "limonada de coco",
		"copa de ron viejo", "chicharrón con arepa", "agua sin gas", "michelada", "patacón con hogao", "cubetazo x6",
	}
	actions = []string{
		"added by waiter", "added by waiter", "added by waiter", "voided by cashier, wrong table", "split between two cards",
		"moved from table by waiter", "price corrected by manager", "patron says it never came", "paid by card, approved", "card declined, tried again",
	}
)

// TabHistory returns a prompt for a dispute summary of a tab history with the given number
// of entries. Each entry has about 26 tokens.
func TabHistory(seed uint64, entries int) string {
	w := newWriter(seed)
	w.line("Read the history of this open tab and write a dispute summary for the arbitration desk: what each card owes, which items")
	w.line("are disputed and by whom, how the tip is attributed to the waiters by the time each served, and what must be refunded.")
	w.line("Amounts are in Colombian pesos. Cite the entry numbers on which each conclusion rests.")
	w.line("")
	w.line("TAB T-%05d, %s, table %d, opened %s by %s", w.between(1, 99999), w.pick(bars), w.between(1, 40), clock(18*time.Hour, 12), w.pick(waiters))
	for entry := range entries {
		w.line("%03d %s table %d, %s: %d x %s at %d00, %s, %s; terminal %s, reference %s.",
			entry+1, clock(18*time.Hour, 12+entry), w.between(1, 40), w.pick(waiters), w.between(1, 6), w.pick(items),
			w.between(35, 980), w.pick(patrons), w.pick(actions), w.pick(acquirers), digits(w, 8))
	}
	w.line("Suggested tip 10%%, paid with %s to %s.", w.pick(patrons), w.pick(waiters))
	w.line("")
	w.line("SUMMARY:")
	return w.String()
}

// Tip returns a tip payment.
func Tip(seed uint64) TipPayment {
	w := newWriter(seed)
	return TipPayment{
		Tab:      "T-" + digits(w, 5),
		Bar:      w.pick(bars),
		Waiter:   w.pick(waiters),
		Amount:   w.between(40, 900) * 100,
		Acquirer: w.pick(acquirers),
		Night:    "2026-11-27",
	}
}
