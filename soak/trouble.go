package soak

import "github.com/carawaystile/carawaystile/platform/platformtest"

const (
	shedFault  = "a service rejects everything"
	strayFault = "rejections name no request"
)

// trouble has a part of the requests at one endpoint go wrong for a while.
func (s *strike) trouble(share float64, kinds ...platformtest.Fault) {
	e := s.d.places.endpoint(s.place())
	lift := s.d.places.trouble(e.ID, troubled{kinds: kinds, share: share})
	s.wait()
	lift()
}

// shedService has all endpoints of one service reject all requests as not run for a while.
func shedService(s *strike) {
	service := []string{serviceModels, serviceDesk}[s.rng.IntN(2)]
	for n := range modelEndpoints + deskEndpoints {
		if e := s.d.places.endpoint(n); e.Service == service {
			lift := s.d.places.trouble(e.ID, troubled{kinds: []platformtest.Fault{platformtest.Shedding}, share: 1})
			defer lift()
		}
	}
	s.wait()
}
