package forward

// heldOrganisations are the organisations, by class, that wait until all others of their instance
// have asked, since one of their requests has to wait for organisations that have had less. Without
// this, a few organisations that are first in order and yield would use up all questions. The zero
// value is that of no organisations, and stays so where nothing yields.
type heldOrganisations struct {
	of map[heldKey]struct{}
	// late is set once the pause after the first yield is over. From then on those whose requests are
	// placed are held too, or one that never yields would hold back the others for good.
	late bool
}

type heldKey struct {
	organisation string
	class        int
}

func (h *heldOrganisations) isEmpty() bool { return len(h.of) == 0 }

// has reports whether a request is of an organisation that is held.
func (h *heldOrganisations) has(w *waiter) bool {
	if h.isEmpty() {
		return false
	}
	_, held := h.of[heldKey{w.organisation, w.class()}]
	return held
}

// add holds back the organisation of a request.
func (h *heldOrganisations) add(w *waiter) {
	if h.of == nil {
		h.of = map[heldKey]struct{}{}
	}
	h.of[heldKey{w.organisation, w.class()}] = struct{}{}
}

// addIfAny holds back the organisation of a request if another one is held.
func (h *heldOrganisations) addIfAny(w *waiter) {
	if !h.isEmpty() {
		h.add(w)
	}
}

// endPause holds back the organisations of requests that could not be placed and may ask again now,
// if others are held.
func (h *heldOrganisations) endPause(refused []*waiter) {
	if h.isEmpty() {
		return
	}
	h.late = true
	for _, w := range refused {
		h.add(w)
	}
}

func (h *heldOrganisations) clear() {
	clear(h.of)
	h.late = false
}
