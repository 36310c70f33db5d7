package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
)

// maxSharedParts bounds the parts of a prompt that placement considers. The request is forwarded whole; the parts after
// them count as ones that no other request shares.
const maxSharedParts = 256

// longPromptInterval is the shortest time between two log lines about prompts of too many parts.
const longPromptInterval = 10 * time.Second

// reportLongPrompt counts and logs a prompt of more parts than placement considers.
func (s *Server) reportLongPrompt(c *clientRequest) {
	s.metrics.countLongPrompt()
	if s.longPrompts.allow(s.options.Now(), longPromptInterval) {
		events.PromptPartsIgnored.Log(s.log, zap.String("route", c.route.Name), zap.String("organisation", string(c.organisationID())),
			zap.Int("considered", maxSharedParts))
	}
}

// countLongPrompt counts a prompt of more parts than placement considers.
func (m *requestMetrics) countLongPrompt() {
	if m != nil {
		m.registry.Counter("carawaystile_prompts_of_many_parts_total", "Requests whose prompt has more parts than placement considers.").Inc(1)
	}
}
