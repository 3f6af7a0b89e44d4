package engine

import "context"

// crossing is a request that waits for the one whose answer it is to give.
type crossing struct {
	source  source
	partner chan source // gets the other request
}

// meet swaps the answers of two requests when that switch is set: the first one
// waits in the batch for the second, so the engine needs two slots. It returns false when the client hung up meanwhile.
func (s *Server) meet(ctx context.Context, work *work) bool {
	s.mutex.Lock()
	if s.cross != nil {
		s.cross.partner <- work.source
		work.source = s.cross.source
		s.cross = nil
		s.mutex.Unlock()
		return true
	}
	if s.switches.Cross == 0 {
		s.mutex.Unlock()
		return true
	}
	s.switches.Cross--
	waiting := &crossing{source: work.source, partner: make(chan source, 1)}
	s.cross = waiting
	s.mutex.Unlock()
	select {
	case work.source = <-waiting.partner:
		return true
	case <-ctx.Done():
		s.forget(waiting)
		return false
	}
}

func (s *Server) forget(waiting *crossing) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cross == waiting {
		s.cross = nil
	}
}
