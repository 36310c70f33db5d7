package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/tables"
)

// nameGenerator generates names, including some that YAML resolves to other types.
var nameGenerator = rapid.OneOf(
	rapid.SampledFrom([]string{"no", "true", "1e3", "0x10", "null", "2026-01-01", "12"}),
	rapid.StringMatching(`[a-z][a-z0-9._-]{0,12}`),
)

// Guards against an export that changes traffic when it is applied again, because something
// is written that the parser reads differently.
func TestWrittenDeclarationsReadTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(nameGenerator, 3, 3, rapid.ID[string]).Draw(t, "names")
		wait := time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * time.Millisecond
		c := &tables.Configuration{
			WeightLoads: rapid.IntRange(1, 9).Draw(t, "loads"),
			Models:      []tables.Model{{Name: tables.ModelName(names[0]), Weights: "w1", Adapters: []tables.AdapterName{"a"}}},
			Profiles: []tables.Profile{{
				Name: tables.ProfileName(names[1]), Model: tables.ModelName(names[0]), Adapter: "a",
				MaxWait: wait, Timeout: wait + time.Minute, Idempotent: true, Priority: tables.Background,
				Prefer: rapid.SampledFrom([]tables.Preference{0, 1, 2}).Draw(t, "prefer"),
				Hedge:  rapid.Bool().Draw(t, "hedge"),
			}},
			Organisations: []tables.Organisation{{
				ID: tables.OrganisationID(names[2]), TokenHashes: []string{strings.Repeat("0", 64)},
				Share: rapid.IntRange(1, 9).Draw(t, "share"), Concurrent: rapid.IntRange(0, 9).Draw(t, "concurrent"),
				RequestsPerSecond: rapid.Float64Range(0, maxRate).Draw(t, "rate"),
				Profiles:          []tables.ProfileName{tables.ProfileName(names[1])},
			}},
			Endpoints: []tables.Endpoint{{
				ID: tables.EndpointID(names[0]), Zone: tables.Zone(names[1]), Life: 1, Slots: 3,
				Address: netip.MustParseAddrPort("127.0.0.1:80"), Models: []tables.ModelName{tables.ModelName(names[0])},
				ChecksFence: rapid.Bool().Draw(t, "fence"), DecodeRate: rapid.Float64Range(0, maxSpeed).Draw(t, "speed"),
			}},
		}
		text, err := WriteDeclarations(c)
		if err != nil {
			t.Fatal(err)
		}
		read, err := ParseDeclarations(map[string][]byte{"f": text})
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if got, want := fmt.Sprintf("%+v", read), fmt.Sprintf("%+v", c); got != want {
			t.Fatalf("read %s\nwant %s\nfrom\n%s", got, want, text)
		}
	})
}

func TestExamplesWrittenReadTheSame(t *testing.T) {
	c, err := ReadDeclarations("../examples/tawe")
	assert.NilError(t, err)
	text, err := WriteDeclarations(c)
	assert.NilError(t, err)
	read, err := ParseDeclarations(map[string][]byte{"f": text})
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%+v", read), fmt.Sprintf("%+v", c))
}
