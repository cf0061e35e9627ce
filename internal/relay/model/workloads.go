package model

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

const megabyte = 1_000_000

// stageLimits returns the limits of a service that runs stages.
func stageLimits(items int, itemTime time.Duration, room int64) routes.Batch {
	return routes.Batch{
		Slots:    1,
		Queue:    2,
		Items:    items,
		CallTime: 240 * time.Millisecond,
		ItemTime: itemTime,
		Room:     room,
		Retain:   4 * time.Second,
	}
}

// Franchise returns the stages and kinds of requests of the Franchise Office.
func Franchise() Deployment {
	return Deployment{
		Domains: 3,
		Length:  30 * time.Second,
		Pools: []Pool{
			{
				Service:   "judging-board",
				Upstreams: 4,
				Limits:    stageLimits(8, 26*time.Millisecond, 9.6*megabyte),
			},
			{
				Service:   "exhibitor-portal",
				Upstreams: 5,
				Limits:    stageLimits(14, 15*time.Millisecond, 1.5*megabyte),
			},
			{
				Service:   "awards-ledger",
				Upstreams: 5,
				Limits:    stageLimits(20, 10*time.Millisecond, 0.23*megabyte),
			},
		},
		Kinds: []Kind{
			{
				Name:      "entry-dossier",
				Rank:      1,
				Rate:      6.49,
				Objective: 2 * time.Second,
				Deadline:  15 * time.Second,
				Generate:  300 * time.Millisecond,
				Worth:     4.4,
				Late:      0.66,
				Stages: []Stage{
					{
						Service: "judging-board",
						Pieces:  2.5,
						Share:   0.7,
						Bytes:   800_000,
					},
				},
			},
			{
				Name:      "rules-chat",
				Rate:      10.2,
				Objective: 2500 * time.Millisecond,
				Deadline:  20 * time.Second,
				Generate:  100 * time.Millisecond,
				Worth:     1.9,
				Late:      0.28,
				Stages: []Stage{
					{
						Service: "judging-board",
						Pieces:  1,
						Fixed:   true,
						Bytes:   8_000,
						Work:    0.3,
					},
					{
						Service: "exhibitor-portal",
						After:   []int{0},
						Pieces:  4,
						Fixed:   true,
						Bytes:   60_000,
					},
					{
						Service: "awards-ledger",
						After:   []int{1},
						Pieces:  6,
						Bytes:   6_000,
					},
				},
			},
			{
				Name:      "rind-tag",
				Rank:      2,
				Rate:      9.38,
				Objective: 2500 * time.Millisecond,
				Deadline:  6 * time.Second,
				Generate:  100 * time.Millisecond,
				Worth:     0.48,
				Late:      0.072,
				Stages: []Stage{
					{
						Service: "judging-board",
						Pieces:  1.5,
						Share:   0.4,
						Bytes:   800_000,
					},
					{
						Service: "judging-board",
						Pieces:  1,
						Fixed:   true,
						Bytes:   8_000,
						Work:    0.3,
					},
					{
						Service: "exhibitor-portal",
						After:   []int{1},
						Pieces:  4,
						Fixed:   true,
						Bytes:   60_000,
					},
					{
						Service: "awards-ledger",
						After:   []int{2},
						Pieces:  6,
						Bytes:   6_000,
					},
				},
			},
		},
	}
}

// Roues returns the stages and kinds of requests of Roues Armor.
func Roues() Deployment {
	return Deployment{
		Domains: 4,
		Length:  30 * time.Second,
		Pools: []Pool{
			{
				Service:   "certifs",
				Upstreams: 4,
				Limits:    stageLimits(8, 26*time.Millisecond, 9.6*megabyte),
			},
			{
				Service:   "stock",
				Upstreams: 5,
				Limits:    stageLimits(26, 7900*time.Microsecond, 2.8*megabyte),
			},
			{
				Service:   "factures",
				Upstreams: 5,
				Limits:    stageLimits(18, 11*time.Millisecond, 0.21*megabyte),
			},
		},
		Kinds: []Kind{
			{
				Name:      "dossier",
				Rank:      1,
				Rate:      6.91,
				Objective: 3 * time.Second,
				Deadline:  20 * time.Second,
				Generate:  300 * time.Millisecond,
				Worth:     4.5,
				Late:      0.67,
				Stages: []Stage{
					{
						Service: "certifs",
						Pieces:  1.5,
						Share:   0.4,
						Bytes:   800_000,
					},
					{
						Service: "certifs",
						Pieces:  1,
						Fixed:   true,
						Bytes:   8_000,
						Work:    0.3,
					},
					{
						Service: "stock",
						After:   []int{1},
						Pieces:  8,
						Fixed:   true,
						Bytes:   60_000,
					},
					{
						Service: "factures",
						After:   []int{2},
						Pieces:  6,
						Bytes:   6_000,
					},
				},
			},
			{
				Name:      "avis",
				Rate:      11.1,
				Objective: 2500 * time.Millisecond,
				Deadline:  15 * time.Second,
				Generate:  100 * time.Millisecond,
				Worth:     1.9,
				Late:      0.28,
				Stages: []Stage{
					{
						Service: "certifs",
						Pieces:  1,
						Fixed:   true,
						Bytes:   8_000,
						Work:    0.3,
					},
					{
						Service: "stock",
						After:   []int{0},
						Pieces:  8,
						Fixed:   true,
						Bytes:   60_000,
					},
					{
						Service: "factures",
						After:   []int{1},
						Pieces:  6,
						Bytes:   6_000,
					},
				},
			},
			{
				Name:      "tri",
				Rank:      2,
				Rate:      10.2,
				Objective: 1200 * time.Millisecond,
				Deadline:  4 * time.Second,
				Generate:  100 * time.Millisecond,
				Worth:     0.48,
				Late:      0.072,
				Stages: []Stage{
					{
						Service: "certifs",
						Pieces:  2.5,
						Share:   0.7,
						Bytes:   800_000,
					},
				},
			},
		},
	}
}
