package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// PathWeights is the path prefix of weights: /weights/{model}/{version} and
// /weights/{model}/{version}/{adapter}.
const PathWeights = "/weights/"

// Default values of WeightStoreConfig.
const (
	defaultWeightBytes  = 16 << 30
	defaultAdapterBytes = 256 << 20
	defaultStoreRate    = 4e9
)

// WeightStoreConfig describes a weight store.
type WeightStoreConfig struct {
	// Bytes is the rate of the store in bytes per second, which all loads share;
	// zero means 4e9.
	Bytes float64
	// WeightBytes and AdapterBytes are the sizes of each model and each adapter in
	// bytes; zero means 16 GiB and 256 MiB.
	WeightBytes  int64
	AdapterBytes int64
	// BodyScale is the factor by which the weights are scaled down in responses; zero
	// means 100,000. A load takes the time of the unscaled size. Sizes and ranges in
	// the protocol refer to the scaled-down bytes.
	BodyScale int64
}

// defaultStoreBodyScale scales a model of 16 GiB down to 172 kB.
const defaultStoreBodyScale = 100_000

// WeightStore serves model weights at a limited rate, completely or by range.
type WeightStore struct {
	config WeightStoreConfig
	// Link is the link of all loads. A test can stall it to stop them.
	Link *Link
}

// NewWeightStore returns a weight store.
func NewWeightStore(c WeightStoreConfig) *WeightStore {
	setDefault(&c.Bytes, defaultStoreRate)
	setDefault(&c.WeightBytes, defaultWeightBytes)
	setDefault(&c.AdapterBytes, defaultAdapterBytes)
	setDefault(&c.BodyScale, defaultStoreBodyScale)
	return &WeightStore{config: c, Link: NewLink(c.Bytes)}
}

// Handler serves the store over HTTP.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, s.config.WeightBytes)
	})
	mux.HandleFunc("GET "+PathWeights+"{model}/{version}/{adapter}", func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, s.config.AdapterBytes)
	})
	return mux
}

func (s *WeightStore) serve(w http.ResponseWriter, r *http.Request, modelled int64) {
	size := max(modelled/s.config.BodyScale, 1)
	if r.Method == http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, &weightReader{ctx: r.Context(), store: s, size: size})
}

// weightReader reads zeroes. Each byte that it reads counts as BodyScale bytes on the
// link of the store.
type weightReader struct {
	ctx   context.Context
	store *WeightStore
	size  int64
	at    int64
}

// Read implements io.Reader.
func (r *weightReader) Read(p []byte) (int, error) {
	if r.at >= r.size {
		return 0, io.EOF
	}
	chunk := max(r.store.Link.Chunk()/r.store.config.BodyScale, 1)
	n := min(int64(len(p)), r.size-r.at, chunk)
	if err := r.store.Link.Pass(r.ctx, n*r.store.config.BodyScale); err != nil {
		return 0, err
	}
	clear(p[:n])
	r.at += n
	return int(n), nil
}

// Seek implements io.Seeker.
func (r *weightReader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.at
	case io.SeekEnd:
		offset += r.size
	}
	r.at = offset
	return offset, nil
}
