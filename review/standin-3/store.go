package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"rosemarygap/platform"
)

// lateWrite is how much later a write without an answer is carried out; the platform's pages
// say seconds, and the bench 1 to 6.
const lateWrite = 4 * time.Second

// valueBytes is value-bytes, the size of the largest value that the store takes.
const valueBytes = 1048576

// limitValues returns a handler that refuses writes of larger values, as the platform's store does.
// It records the size of the values of a key, and the first refusal.
func limitValues(w *world, h http.Handler, key string) http.Handler {
	var mu sync.Mutex
	reported, refused := 0, false
	return http.HandlerFunc(func(x http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/kv-txn") {
			h.ServeHTTP(x, r)
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		var txn platform.Transaction
		if err := json.Unmarshal(b, &txn); err != nil {
			h.ServeHTTP(x, r)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, write := range txn.Writes {
			if write.Key == key && len(write.Value) >= reported+100_000 {
				reported = len(write.Value)
				w.record("store: %s has %d bytes", key, reported)
			}
			if len(write.Value) > valueBytes {
				if !refused {
					w.record("store: a write of %s with %d bytes is refused; value-bytes is %d", write.Key, len(write.Value), valueBytes)
				}
				refused = true
				x.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		h.ServeHTTP(x, r)
	})
}

// loseWrite returns a handler that carries out one write of a key late and answers nothing,
// once a value was sent to lose.
func loseWrite(w *world, h http.Handler, key string, lose chan struct{}) http.Handler {
	return http.HandlerFunc(func(x http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/kv-txn") {
			h.ServeHTTP(x, r)
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		if strings.Contains(string(b), `"writes":[{"key":"`+key) {
			select {
			case <-lose:
				late := r.Clone(w.ctx)
				late.Body = io.NopCloser(bytes.NewReader(b))
				w.record("store: the write of %s gets no answer", key)
				time.AfterFunc(lateWrite, func() {
					answer := httptest.NewRecorder()
					h.ServeHTTP(answer, late)
					w.record("store: the write of %s is carried out: %d", key, answer.Code)
				})
				<-r.Context().Done()
				return
			default:
			}
		}
		h.ServeHTTP(x, r)
	})
}
