package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// answerConn is a connection of a Server on which bytes can be written that belong to no answer: while it is idle, or
// while a request is handled whose answer has not begun, so that they arrive in the place of that answer.
type answerConn struct {
	net.Conn
	mutex sync.Mutex
	// answering is set from the begin of an answer until it has been written. pending are the bytes to write then.
	answering bool
	pending   [][]byte
}

// connKey is the context key of a request's answerConn.
type connKey struct{}

// WriteSurplus writes bytes on the connection of a request, after the answer that is being written, if there is one. It
// does nothing for a request that no Server handles.
func WriteSurplus(r *http.Request, data []byte) {
	c, found := r.Context().Value(connKey{}).(*answerConn)
	if !found {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.answering {
		c.pending = append(c.pending, data)
		return
	}
	_, _ = c.Conn.Write(data)
}

// setAnswering records whether an answer is being written and writes what waits for its end.
func (c *answerConn) setAnswering(answering bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answering = answering
	if answering {
		return
	}
	for _, data := range c.pending {
		_, _ = c.Conn.Write(data)
	}
	c.pending = nil
}

// answerListener accepts answerConns.
type answerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l answerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &answerConn{Conn: conn}, nil
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// trackAnswers ends the answer of a connection that becomes idle.
func trackAnswers(conn net.Conn, state http.ConnState) {
	if c, found := conn.(*answerConn); found && state == http.StateIdle {
		c.setAnswering(false)
	}
}

// answerWriter marks the begin of an answer.
type answerWriter struct {
	http.ResponseWriter
	conn  *answerConn
	begun bool
}

// markAnswers returns a handler that marks the begin of each answer on its connection.
func markAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		conn, found := r.Context().Value(connKey{}).(*answerConn)
		if !found {
			next.ServeHTTP(out, r)
			return
		}
		w := &answerWriter{ResponseWriter: out, conn: conn}
		next.ServeHTTP(w, r)
		// An answer without a body is begun by the server.
		w.begin()
	})
}

func (w *answerWriter) begin() {
	if !w.begun {
		w.begun = true
		w.conn.setAnswering(true)
	}
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}
