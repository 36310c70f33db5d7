package entry

// loopTask lets another goroutine look at the router, which one goroutine
// owns.
type loopTask struct {
	run  func()
	done chan struct{}
}

func (loopTask) message() {}

// RunInEventLoop runs look in the goroutine that owns the router and returns when it
// has run. It says whether it ran; it does not once the server is closed. look
// must be short: requests wait for it.
func (s *Server) RunInEventLoop(run func()) bool {
	task := loopTask{run: run, done: make(chan struct{})}
	s.post(task)
	select {
	case <-task.done:
		return true
	case <-s.stopped:
		return false
	}
}
