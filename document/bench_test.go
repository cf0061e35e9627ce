package document_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

const pipelines = 9

// organisationCounts are the numbers of organisations that a document lists. With
// names of the length used here, 64 KiB hold fewer than 3,900.
var organisationCounts = []int{5, 100, 1000, 2500}

// pipelineDocument returns the text of a document that lists organisations. The
// shares depend on seed.
func pipelineDocument(organisations, seed int) []byte {
	var b strings.Builder
	b.WriteString("[service]\nteam = fair-assist\nkind = pipeline\ndeadline = 12s\nweight = 0.9\ncrossing = 0.1\nmodel = dossier-8b\ntokens = 512\n\n[shares]\n")
	for i := range organisations {
		fmt.Fprintf(&b, "organisation-%04d = %d\n", i, 1+(i+seed)%9)
	}
	b.WriteString("others = 1\n\n[stage generate]\nkind = generate\npool = nutmeg-pool/engines\ntimeout = 10s\ncost = 4\n\n" +
		"[route chat]\nmethod = POST\npath = /v1/chat/completions\nrepeatable = true\norganisation = header:X-Organisation\nbody = 256KiB\n")
	return []byte(b.String())
}

// newFullStore returns a store with a document for each pipeline, each with a full
// history.
func newFullStore(b *testing.B, organisations int) *memkv.Store {
	store := memkv.New(time.Now)
	for p := range pipelines {
		for r := range document.KeptRevisions + 1 {
			_, err := document.Apply(context.Background(), store, document.Change{
				Service: ident.ServiceName(fmt.Sprintf("pipeline-%d", p)),
				ID:      ident.ChangeID(fmt.Sprint(p, "-", r)),
				Base:    ident.Revision(r),
				Team:    "fair-assist",
				Author:  "capacity",
				Time:    time.Unix(1_800_000_000, 0),
				Text:    pipelineDocument(organisations, r),
			})
			qt.Assert(b, err, qt.IsNil)
		}
	}
	return store
}

// BenchmarkListing measures the listing that each host performs every minute, and
// reports the total size of the values in the store.
func BenchmarkListing(b *testing.B) {
	for _, organisations := range organisationCounts {
		b.Run(fmt.Sprintf("%d organisations", organisations), func(b *testing.B) {
			store := newFullStore(b, organisations)
			page, err := store.List(context.Background(), document.Prefix, "", 0)
			qt.Assert(b, err, qt.IsNil)
			bytes := 0
			for _, entry := range page.Entries {
				bytes += len(entry.Value)
			}
			before := store.Counts().Reads
			loads := 0
			b.ReportAllocs()
			for b.Loop() {
				loads++
				loaded, err := document.Load(context.Background(), store)
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, loaded.Documents, qt.HasLen, pipelines)
			}
			b.ReportMetric(float64(bytes), "value-B/op")
			b.ReportMetric(float64(len(pipelineDocument(organisations, 0))), "text-B/document")
			b.ReportMetric(float64(store.Counts().Reads-before)/float64(loads), "reads/op")
		})
	}
}

// BenchmarkRegistry measures parsing and offering one change, and reports the heap
// size of a registry with one document for each pipeline.
func BenchmarkRegistry(b *testing.B) {
	for _, organisations := range organisationCounts {
		b.Run(fmt.Sprintf("%d organisations", organisations), func(b *testing.B) {
			store := newFullStore(b, organisations)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC() // a second run empties the pools of the store's writers
			runtime.ReadMemStats(&before)
			registry := document.NewRegistry()
			loaded, err := document.Load(context.Background(), store)
			qt.Assert(b, err, qt.IsNil)
			for _, v := range loaded.Documents {
				registry.Offer(v)
			}
			loaded = document.Loaded{}
			runtime.GC()
			runtime.GC() // a second run empties the pools of the store's writers
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(store)
			text := pipelineDocument(organisations, 1)
			b.ReportAllocs()
			revision := ident.Revision(100)
			for b.Loop() {
				revision++
				service, err := document.Parse("pipeline-0", text)
				qt.Assert(b, err, qt.IsNil)
				registry.Offer(document.Versioned{
					Service:  service,
					Revision: revision,
					Text:     text,
				})
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-B")
		})
	}
}

// BenchmarkTextLimit reports the largest number of organisations that a document can list.
func BenchmarkTextLimit(b *testing.B) {
	largest := 0
	for n := 100; len(pipelineDocument(n, 0)) <= document.MaxTextBytes; n += 10 {
		largest = n
	}
	b.ReportMetric(float64(largest), "organisations")
}
