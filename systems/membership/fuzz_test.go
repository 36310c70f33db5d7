package membership

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
)

// A faulty holder of the key sends arbitrary datagrams. The instance must not
// crash, and must answer with datagrams of bounded size only.
func FuzzReceive(f *testing.F) {
	good, err := proto.Marshal(&rpc.Datagram{Sender: &rpc.InstanceRow{Instance: "b", Zone: "z", Size: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, payload []byte) {
		self := netip.MustParseAddrPort("127.0.0.1:1")
		m := New(Options{Self: InstanceInfo{Instance: "a", Zone: "z", Size: 1, Address: self}, RandomSeed: 1})
		out, err := m.Receive(time.Second, netip.MustParseAddrPort("127.0.0.1:2"), payload)
		if err != nil && len(out.Datagrams) > 0 {
			t.Fatal("responded to a datagram that cannot be decoded")
		}
		for i := range 20 {
			out = m.Tick(time.Duration(i+2) * time.Second)
			for _, d := range out.Datagrams {
				if len(d.Payload) > m.config.MaxDatagramBytes {
					t.Fatalf("datagram of %d bytes exceeds the limit", len(d.Payload))
				}
			}
		}
		if share := m.LoadShare(); !(share > 0 && share <= 1) {
			t.Fatalf("share %v is outside (0, 1]", share)
		}
	})
}
