// Package peers carries what entry instances tell one another of requests that
// crash endpoints.
package peers

import (
	"context"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// maxSuspectsPerReport bounds what one report may hold.
const maxSuspectsPerReport = 4096

// EncodeReport encodes suspects.
func EncodeReport(suspects []quarantine.Suspect) *rpc.SuspectReport {
	report := &rpc.SuspectReport{}
	for _, s := range suspects {
		report.Suspects = append(report.Suspects, encodeSuspect(s))
	}
	return report
}

// Service takes the reports of other instances. It implements rpc.Peer.
type Service struct {
	Receive func(quarantine.Suspect)
}

// Suspect takes what another instance found out about a crash.
func (s Service) Suspect(_ context.Context, report *rpc.SuspectReport) (*rpc.SuspectAnswer, error) {
	for i, suspect := range report.GetSuspects() {
		if i == maxSuspectsPerReport {
			break
		}
		s.Receive(decodeSuspect(suspect))
	}
	return &rpc.SuspectAnswer{}, nil
}

func encodeSuspect(s quarantine.Suspect) *rpc.CrashSuspect {
	return &rpc.CrashSuspect{
		Fingerprint: uint64(s.Fingerprint),
		Endpoint:    string(s.Incarnation.Endpoint),
		Boot:        string(s.Incarnation.Boot),
		Likely:      s.CrashPoint.Likely,
		Tokens:      int64(s.CrashPoint.AttemptTokens),
		Position:    int64(s.CrashPoint.AnswerTokens),
		Convicted:   s.Convicted,
		AgeNanos:    int64(s.Age),
		RanNanos:    int64(s.CrashPoint.SinceFirstToken),
	}
}

func decodeSuspect(s *rpc.CrashSuspect) quarantine.Suspect {
	return quarantine.Suspect{
		Fingerprint: tables.Fingerprint(s.GetFingerprint()),
		Incarnation: quarantine.Incarnation{
			Endpoint: tables.EndpointID(s.GetEndpoint()),
			Boot:     tables.BootID(s.GetBoot()),
		},
		CrashPoint: quarantine.CrashPoint{
			Likely:          s.GetLikely(),
			AttemptTokens:   int(s.GetTokens()),
			AnswerTokens:    int(s.GetPosition()),
			SinceFirstToken: time.Duration(max(s.GetRanNanos(), 0)),
		},
		Convicted: s.GetConvicted(),
		Age:       time.Duration(max(s.GetAgeNanos(), 0)),
	}
}
