package clientconn

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/membudget"
)

const (
	// firstBodyBytes is the first size of a buffer for a body, whatever length is announced.
	firstBodyBytes = 4 << 10
	// A body must make progress of progressBytes in progressTime. The slowest client that
	// still sends a head in time sends about 25 times as fast.
	progressBytes = 1 << 10
	progressTime  = 5 * time.Second
)

// ReadBody reads the body of a request, of at most limit bytes, within the timeout. Its memory
// is taken from the budget as the bytes arrive and returned with the end of the request. After
// an error, the rest of the body is not read: the connection is closed behind the response. The
// error is a *http.MaxBytesError, a *GaveWayError, or one for which IsTimeout is true, unless
// the client has disconnected or violated the protocol.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	b := &bodyReader{control: http.NewResponseController(w), end: time.Now().Add(timeout), conn: counted(r)}
	phase := membudget.PhaseBody
	if r.ContentLength == 0 {
		phase = membudget.PhaseRunning
	}
	if b.conn != nil && !b.conn.enter(phase) {
		panic(http.ErrAbortHandler) // the connection has been closed
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	err := error(&http.MaxBytesError{Limit: limit})
	if r.ContentLength <= limit {
		b.length = r.ContentLength
		err = b.read(http.MaxBytesReader(w, r.Body, limit), limit)
	}
	if err == nil && b.conn != nil && !b.conn.completeBody() {
		err = &GaveWayError{}
	}
	if err != nil {
		b.refuse(w, err)
		return nil, err
	}
	// Without a read deadline, background reads of the server still detect that the client
	// disconnects, but no longer time out.
	_ = b.control.SetReadDeadline(time.Time{})
	return b.bytes, nil
}

// counted returns the connection of a request if its memory is counted.
func counted(r *http.Request) *Conn {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c.holder != nil {
		return c
	}
	return nil
}

const (
	// discardBytes is the largest body that the server reads behind a refusal, within
	// discardTime: a new connection costs more.
	discardBytes = 4 << 10
	discardTime  = time.Second
)

// DiscardBody refuses a body that was not read. The server of net/http would read up to 256 KiB
// of it behind the response, for as long as the client takes.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	c := http.NewResponseController(w)
	if r.ContentLength > 0 && r.ContentLength <= discardBytes {
		_ = c.SetReadDeadline(time.Now().Add(discardTime)) // writers of tests have no deadlines
		return
	}
	w.Header().Set("Connection", "close")
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// WithoutBodies returns a handler whose requests have no bodies: the connection of one that has is
// closed behind the response, unread.
func WithoutBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			DiscardBody(w, r)
			// The server would hold the connection half a second for the client to read the response.
			r.Body = http.NoBody
		}
		h.ServeHTTP(w, r)
	})
}

type bodyReader struct {
	conn    *Conn
	control *http.ResponseController
	// end is when the body must have arrived.
	end    time.Time
	length int64
	bytes  []byte
	taken  int64
	// marked is when the body last made enough progress, since then the bytes from then on.
	marked time.Time
	since  int
}

func (b *bodyReader) read(body io.Reader, limit int64) error {
	b.mark(time.Now())
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return b.explain(err)
		}
		if b.since += n; b.since >= progressBytes {
			b.progress()
		}
	}
}

// progress records that enough of the body has arrived.
func (b *bodyReader) progress() {
	if b.conn != nil {
		b.conn.holder.Progress()
	}
	// The deadline is not moved with each read, which would cost more than the read.
	if now := time.Now(); now.Sub(b.marked) > progressTime/4 {
		b.mark(now)
	}
	b.since = 0
}

func (b *bodyReader) mark(now time.Time) {
	b.marked = now
	end := now.Add(progressTime * 5 / 4)
	if end.After(b.end) {
		end = b.end
	}
	_ = b.control.SetReadDeadline(end) // writers of tests have no deadlines
}

// grow doubles the buffer. The bytes are copied, so that both are held for a moment.
func (b *bodyReader) grow(limit int64) error {
	size := int64(max(firstBodyBytes, 2*cap(b.bytes)))
	if b.length > 0 {
		size = min(size, b.length+1) // one more for the end of the body
	}
	size = min(size, limit+1)
	if b.conn != nil {
		begun := time.Now()
		if err := b.conn.take(membudget.KindBody, size); err != nil {
			return err
		}
		if time.Since(begun) > askInterval/2 {
			// The client could not send meanwhile. The wait counts against the whole time only.
			b.mark(time.Now())
		}
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	b.returnTaken()
	b.taken = size
	return nil
}

func (b *bodyReader) returnTaken() {
	if b.conn != nil {
		b.conn.holder.Return(membudget.KindBody, b.taken)
	}
	b.taken = 0
}

// explain returns why a read failed: a holder that gives way makes its reads time out.
func (b *bodyReader) explain(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && b.conn != nil && b.conn.isStopped() {
		return &GaveWayError{}
	}
	return err
}

// refuse makes the server close the connection behind the response without reading the rest of
// the body, of which there may be no end.
func (b *bodyReader) refuse(w http.ResponseWriter, err error) {
	b.bytes = nil
	b.returnTaken()
	w.Header().Set("Connection", "close")
	if b.conn == nil {
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
		return
	}
	b.conn.stop()
	b.conn.holder.Enter(membudget.PhaseRunning) // the response is sent
	b.conn.log.decide(MetricBodiesRefused, "body refused", b.conn.client()+": "+err.Error())
}
