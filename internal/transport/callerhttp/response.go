package callerhttp

import "net/http"

// closingWriter adds "Connection: close" to a response if the listener ends its connections
// when the header is written. A caller whose request was accepted before would otherwise
// send its next request on a connection that is about to be closed.
type closingWriter struct {
	http.ResponseWriter
	listener *Listener
	written  bool // the header
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.written = true
		if w.listener.ending.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.ensureHeader()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() { _ = w.FlushError() }

// FlushError is called by http.ResponseController.
func (w *closingWriter) FlushError() error {
	w.ensureHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) ensureHeader() {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
}
