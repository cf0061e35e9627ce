// Package claimpb is the stored form of package claim, generated from claim.proto.
package claimpb
