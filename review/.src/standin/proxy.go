package standin

import (
	"net"
	"sync"
)

// Proxy passes a TCP link on and can cut it: while it is cut, no byte passes in either
// direction, and none is lost.
type Proxy struct {
	Address string
	target  string

	mu   sync.Mutex
	open *sync.Cond
	cut  bool
}

// NewProxy starts a proxy in front of the target on a free port of loopback.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target}
	p.open = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// SetCut cuts the link or heals it.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.open.Broadcast()
}

func (p *Proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.open.Wait()
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	p.wait()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	for _, link := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			defer func() { done <- struct{}{} }()
			buffer := make([]byte, 64<<10)
			for {
				n, err := link[0].Read(buffer)
				p.wait()
				if n > 0 {
					if _, err := link[1].Write(buffer[:n]); err != nil {
						return
					}
				}
				if err != nil {
					return
				}
			}
		}()
	}
	<-done
}
