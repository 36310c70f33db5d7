package routes

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// route returns a valid route that sends all requests to one service.
func route(host, prefix string) Route {
	return Route{
		Name: host + prefix, Host: host, Prefix: prefix, Timeout: time.Second,
		TrafficSplit: []WeightedService{{Service: "desk", Weight: 1}},
	}
}

func services() []Service { return []Service{{Name: "desk"}, {Name: "models"}} }

func TestLongestPrefixOfHostMatches(t *testing.T) {
	table, err := NewTable(Configuration{
		Services: services(),
		Routes:   []Route{route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")},
	})
	assert.NilError(t, err)
	assert.Equal(t, table.Match("A.example:8080", "/x/y/z").Prefix, "/x/y/")
	assert.Equal(t, table.Match("a.example", "/x/z").Prefix, "/x/")
	assert.Assert(t, table.Match("a.example", "/x") == nil)
	assert.Assert(t, table.Match("c.example", "/x/") == nil)
}

// A contradictory configuration must be rejected. If it took effect, requests would
// have no service to go to or would be attributed to the wrong organisation.
func TestInvalidConfigurationsAreRejected(t *testing.T) {
	noService := route("a.example", "/")
	noService.TrafficSplit[0].Service = "nobody"
	noWeight := route("a.example", "/")
	noWeight.TrafficSplit[0].Weight = 0
	noTimeout := route("a.example", "/")
	noTimeout.Timeout = 0
	cases := map[ErrorReason]Configuration{
		UnknownService: {Services: services(), Routes: []Route{noService}},
		InvalidWeights: {Services: services(), Routes: []Route{noWeight}},
		MissingTimeout: {Services: services(), Routes: []Route{noTimeout}},
		DuplicateRoute: {Services: services(), Routes: []Route{route("a.example", "/x/"), route("A.example", "/x/")}},
		InvalidPrefix:  {Services: services(), Routes: []Route{route("a.example", "/x")}},
		DuplicateKey:   {Organisations: []Organisation{{ID: "a", Keys: []string{"k"}}, {ID: "b", Keys: []string{"k"}}}},
	}
	for reason, c := range cases {
		_, err := NewTable(c)
		var invalid *ConfigurationError
		assert.Assert(t, errors.As(err, &invalid), "%s", reason)
		assert.Equal(t, invalid.Reason, reason)
	}
}

func TestTrafficSplitFollowsWeightsAndIsDeterministic(t *testing.T) {
	split := route("a.example", "/")
	split.TrafficSplit = []WeightedService{{Service: "desk", Weight: 90}, {Service: "models", Weight: 10}}
	table, err := NewTable(Configuration{Services: services(), Routes: []Route{split}})
	assert.NilError(t, err)
	count := map[string]int{}
	for i := range 10_000 {
		id := strconv.Itoa(i)
		service := table.SelectService(&table.Routes[0], id)
		assert.Equal(t, service, table.SelectService(&table.Routes[0], id))
		count[service.Name]++
	}
	assert.Assert(t, count["models"] > 900 && count["models"] < 1100, "%v", count)
}
