package node

import (
	"time"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/metrics"
)

// registerControlMetrics registers the metrics of the control role, which are computed
// whenever the metrics are scraped.
func (n *Node) registerControlMetrics() {
	leads := n.registry.Gauge("carawaystile_leads", "1 if this control replica leads the group.")
	voter := n.registry.Gauge("carawaystile_votes", "1 if this control replica votes.")
	orders := n.registry.Gauge("carawaystile_orders_lease_held", "1 if this instance gives orders to endpoints.")
	lag := n.registry.Gauge("carawaystile_replica_lag_seconds", "How long ago the state of this control replica was known to be the newest of its group; -1 if it never was.")
	listed := n.registry.Gauge("carawaystile_list_age_seconds", "Time since this instance last read the platform's list, or the leader did whose endpoints it has.")
	behind := n.registry.Gauge("carawaystile_rollout_endpoints_behind", "Endpoints that serve older weights than their target.")
	oldest := n.registry.Gauge("carawaystile_rollout_lag_seconds", "How long the endpoint that lags longest has served older weights than their target.")
	lagging := n.registry.Gauge("carawaystile_rollout_version_lagging", "Target version that two or more endpoints, and over a tenth of the model's, have lacked longest; 0 if there is none.")
	lacking := n.registry.Gauge("carawaystile_rollout_version_lacking_endpoints", "Endpoints that lack that version.")
	age := n.registry.Gauge("carawaystile_rollout_version_lag_seconds", "How long two or more endpoints, and over a tenth of the model's, have lacked that version.")
	n.registry.BeforeWrite(func() {
		version := n.rollout.VersionLag()
		lagging.Update(float64(version.Version))
		lacking.Update(float64(version.Lacking))
		age.Update(version.Age.Seconds())
		weights := n.rollout.Lag()
		behind.Update(float64(weights.Endpoints))
		oldest.Update(weights.Oldest.Seconds())
		status := n.replica.Status()
		leads.Update(boolToFloat(status.IsLeader))
		voter.Update(boolToFloat(status.IsVoter))
		lag.Update(lagSeconds(status.Lag))
		orders.Update(boolToFloat(n.rollout.HoldsLease()))
		latest := max(n.listReadAt.Load(), n.leaderListAt.Load())
		listed.Update((n.now() - time.Duration(latest)).Seconds())
		n.replica.View(func(st *state.State) {
			for _, document := range st.Documents() {
				n.registry.Gauge("carawaystile_document_number", "Number of the newest decided document.",
					metrics.Label{Name: "document", Value: document.GetName()}).Update(float64(document.GetNumber()))
			}
		})
	})
}

// lagSeconds returns the lag in seconds, and -1 for an unknown lag, which is negative.
func lagSeconds(lag time.Duration) float64 {
	if lag < 0 {
		return -1
	}
	return lag.Seconds()
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
