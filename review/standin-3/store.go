package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// lateWrite is how much later a write without an answer is carried out; the platform's pages
// say seconds, and the bench 1 to 6.
const lateWrite = 4 * time.Second

// loseWrite returns a handler that carries out one write of a key late and answers nothing,
// once a value was sent to lose.
func loseWrite(w *world, h http.Handler, key string, lose chan struct{}) http.Handler {
	return http.HandlerFunc(func(x http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, text("transaction-path")) {
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
