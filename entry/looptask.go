package entry

// inspection lets another goroutine look at the router, which one goroutine
// owns.
type inspection struct {
	look func()
	done chan struct{}
}

func (inspection) message() {}

// RunInEventLoop runs look in the goroutine that owns the router and returns when it
// has run. It says whether it ran; it does not once the server is closed. look
// must be short: requests wait for it.
func (s *Server) RunInEventLoop(look func()) bool {
	i := inspection{look: look, done: make(chan struct{})}
	s.tell(i)
	select {
	case <-i.done:
		return true
	case <-s.stopped:
		return false
	}
}
