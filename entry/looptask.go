package entry

// loopTask is a function that the event loop runs for another goroutine, with
// access to the router.
type loopTask struct {
	run  func()
	done chan struct{}
}

func (loopTask) message() {}

// RunInEventLoop runs a function in the goroutine of the event loop, which owns
// the router, and returns when the function has returned. It reports whether
// the function ran; after Close it does not. The function must be short,
// because requests wait for it.
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
