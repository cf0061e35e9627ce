package grpcpeer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Guards against reports of crashes that lose suspects or their age on the way, and
// against reports that are larger than hosts send.
func TestCrashReported(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("exchange", func(t *testing.T) {
		c := qt.New(t)
		h := &handler{
			registry: document.NewRegistry(),
		}
		f := serve(t, h, time.Now)
		message := peer.Message{
			From: row("a"),
		}
		const age = 3 * time.Second
		sent := peer.CrashReported{
			Host:        "a",
			Upstream:    "u",
			Incarnation: 7,
			At:          time.Now().Add(-age),
			Suspects: []peer.CrashSuspect{
				{Fingerprints: []peer.Fingerprint{{1}, {2}}},
				{Fingerprints: []peer.Fingerprint{{3}}, Repeated: true},
				{Rest: []peer.ShortFingerprint{1, 2, 1 << 31}},
			},
		}
		message.Rumours = []peer.Rumour{sent}
		_, err := f.client.Exchange(context.Background(), f.address, message)
		c.Assert(err, qt.IsNil)
		received, ok := h.message.Load().Rumours[0].(peer.CrashReported)
		c.Assert(ok, qt.IsTrue)
		c.Check(time.Since(received.At) >= age, qt.IsTrue)
		c.Check(received.At.Sub(sent.At) < age, qt.IsTrue, qt.Commentf("the age is lost"))
		received.At = sent.At
		c.Check(received, qt.DeepEquals, sent)

		for name, suspects := range map[string][]peer.CrashSuspect{
			"many suspects":     make([]peer.CrashSuspect, peer.MaxSuspects+1),
			"many fingerprints": {{Fingerprints: make([]peer.Fingerprint, peer.MaxFingerprints+1)}},
			"many short ones":   {{Rest: make([]peer.ShortFingerprint, peer.MaxRest)}, {Rest: make([]peer.ShortFingerprint, 1)}},
			"in no order":       {{Rest: []peer.ShortFingerprint{2, 1}}},
		} {
			sent.Suspects = suspects
			message.Rumours = []peer.Rumour{sent}
			_, err = f.client.Exchange(context.Background(), f.address, message)
			c.Check(err, qt.IsNotNil, qt.Commentf(name))
		}
	})
}
