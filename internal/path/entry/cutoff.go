package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errCutOff says that the connection must not be used any more.
var errCutOff = errors.New("the caller was cut off")

// cutOff ends the exchange with a caller: the reads of its body, and later the writes of the
// response. It is safe for concurrent use.
type cutOff struct {
	mu         sync.Mutex
	writer     http.ResponseWriter
	responding bool
	// over is set when the handler of the call has returned.
	over bool
}

// run makes the pending and later reads, or the writes of a response, fail. A request whose
// body is cut off still gets a response.
func (c *cutOff) run() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	rc := http.NewResponseController(c.writer)
	past := time.Unix(1, 0)
	if c.responding {
		_ = rc.SetWriteDeadline(past)
		return
	}
	_ = rc.SetReadDeadline(past)
}

// respond says that the response begins.
func (c *cutOff) respond() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = true
}

// end says that the handler of the call returns. The connection may get another request.
func (c *cutOff) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
}
