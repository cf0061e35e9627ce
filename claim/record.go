package claim

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/claim/internal/claimpb"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// MaxBodyBytes is the size of the largest response body that the ledger keeps
	// for duplicate requests.
	MaxBodyBytes = 8 << 10
	// Content types are a few dozen bytes; a longer one would make a record large.
	maxTypeBytes = 128
	// The head is rewritten with each batch, so it is sealed at this size.
	sealBytes = 16 << 10
	// Size limit of a batch; keeps the head well below kv.MaxValueBytes.
	batchBytes = 256 << 10
	// Upper bound of a record's size without its body.
	recordBytes = 512
)

func headKey(p Partition) kv.Key {
	return kv.Key(fmt.Sprintf("claim/%d/head", p))
}

func segmentPrefix(p Partition) kv.Key {
	return kv.Key(fmt.Sprintf("claim/%d/segment/", p))
}

// segmentKey pads the number so that the store lists segments in numerical order.
func segmentKey(p Partition, number uint32) kv.Key {
	return segmentPrefix(p) + kv.Key(fmt.Sprintf("%010d", number))
}

func setDone(done Done, record *claimpb.Record) {
	record.State = claimpb.State_STATE_DONE
	record.Status = int32(done.Status)
	// Protocol buffers reject strings that are not valid UTF-8.
	record.Type = strings.ToValidUTF8(done.Type[:min(len(done.Type), maxTypeBytes)], "")
	if len(done.Body) > MaxBodyBytes {
		digest := sha256.Sum256(done.Body)
		record.Digest = digest[:]
		return
	}
	record.Body = done.Body
}

func completedFrom(record *claimpb.Record) Completed {
	return Completed{
		Status: int(record.GetStatus()),
		Type:   record.GetType(),
		Body:   record.GetBody(),
		Kept:   len(record.GetDigest()) == 0,
	}
}

func identityOf(record *claimpb.Record) Identity {
	var identity Identity
	copy(identity[:], record.GetIdentity())
	return identity
}

func seconds(now time.Time) uint32 {
	return uint32(now.Unix())
}

func encode(message proto.Message) ([]byte, error) {
	value, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(message)
	return value, errors.Annotate(err, "encode claims")
}

func decodeHead(value []byte) (*claimpb.Head, error) {
	head := &claimpb.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, errors.Annotate(err, "decode claim head")
	}
	return head, nil
}

func decodeSegment(value []byte) ([]*claimpb.Record, error) {
	segment := &claimpb.Segment{}
	if err := proto.Unmarshal(value, segment); err != nil {
		return nil, errors.Annotate(err, "decode claim segment")
	}
	return segment.GetRecords(), nil
}
