package replica

import (
	"math"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/sharedrate"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Numbers of a short update. Those that change with each heartbeat come first, so that the presence of a heartbeat is a small integer. The
// numbers and their order, and the parts below, are fixed for formatShort: earlier versions misread a message with another one. A later field
// is sent in the rest.
const (
	updateStoreAge = iota
	updateQuotaStamp
	updateQuotaEcho
	updateVersion
	updateSecondVersion
	updateLeaseVersion
	updateConfigurationAge
	updateMinElectionDelay
	updateIndex
	updateCount
	updateQuotaCoordinator
	updateQuotaProcess
	updateQuotaSerial
	updateQuotaFraction
	updateNumberCount
)

// maxShortVersions is the number of tables whose versions are numbers of a short update.
const maxShortVersions = updateSecondVersion - updateVersion + 1

// Numbers of a short report, in the same order.
const (
	reportQuotaStamp = iota
	reportQuotaEcho
	reportDelay
	reportQuotaLeft
	reportQuotaProcess
	reportQuotaCoordinator
	reportQuotaFraction
	reportQuotaGrantedBy
	reportQuotaSerial
	reportNumberCount
)

// Parts of a short update or report. They occupy the lowest bits of its presence, below those of the numbers.
const (
	// partQuota and partVersions tell that the message is about a quota and about the versions of tables.
	partQuota presence = 1 << iota
	partVersions
	// partDistributor and partTables tell that the address of the distributor, or the names of the tables, have changed and follow.
	partDistributor
	partTables
	// partRest tells that the other fields follow, in the usual form.
	partRest
	partCount = iota
)

// numbers are the last values of the numeric fields of the updates or reports in one direction of a connection. A short message contains
// those that have changed, as differences.
type numbers []uint64

// encode writes the presence and the numbers of a message and makes them the last ones.
func (n numbers) encode(c *codec, parts presence, next numbers) {
	p := parts
	for i := range n {
		p.set(1<<(partCount+i), n[i] != next[i])
	}
	c.writeUints(uint64(p))
	for i := range n {
		if n[i] != next[i] {
			c.writeInts(int64(next[i] - n[i]))
			n[i] = next[i]
		}
	}
}

// decode reads what encode has written.
func (n numbers) decode(c *codec) (parts presence) {
	p := c.readPresence()
	for i := range n {
		if p.has(1 << (partCount + i)) {
			n[i] += uint64(c.readInt())
		}
	}
	return p
}

// updateState is what both ends of a connection keep of the last short update.
type updateState struct {
	numbers     [updateNumberCount]uint64
	distributor string
	tables      []string
}

// shortUpdate is an Update in short form: only what has changed since the last one on the connection.
type shortUpdate struct {
	*Update
	state   *updateState
	encoder *nameEncoder
	decoder *nameDecoder
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shortUpdate) EncodeMsgpack(e *msgpack.Encoder) error {
	rest, next := *s.Update, s.state.numbers
	var p presence
	take(&next[updateStoreAge], &rest.StoreAge)
	take(&next[updateLeaseVersion], &rest.LeaseVersion)
	take(&next[updateConfigurationAge], &rest.ConfigurationAgeMs)
	take(&next[updateMinElectionDelay], &rest.MinElectionDelayMs)
	take(&next[updateIndex], &rest.Index)
	take(&next[updateCount], &rest.Count)
	if s.Quota != nil {
		p |= partQuota
		q := *s.Quota
		take(&next[updateQuotaStamp], &q.Stamp)
		take(&next[updateQuotaEcho], &q.Echo)
		take(&next[updateQuotaCoordinator], &q.Coordinator)
		take(&next[updateQuotaProcess], &q.Process)
		take(&next[updateQuotaSerial], &q.Serial)
		takeFloat(&next[updateQuotaFraction], &q.Fraction)
		rest.Quota = unlessEmpty(q)
	}
	tables := s.state.tables
	if versions, ok := onlyVersions(s.Deltas); ok {
		p |= partVersions
		rest.Deltas, tables = nil, versions
		for i := range s.Deltas {
			next[updateVersion+i] = s.Deltas[i].Version
		}
		p.set(partTables, !reflect.DeepEqual(tables, s.state.tables))
	}
	rest.Distributor = ""
	p.set(partDistributor, s.Distributor != s.state.distributor)
	p.set(partRest, !isEmpty(rest))
	c := codec{e: e}
	numbers(s.state.numbers[:]).encode(&c, p, next[:])
	if p.has(partDistributor) {
		c.do(func() error { return s.encoder.encode(e, s.Distributor) })
	}
	if p.has(partTables) {
		c.do(func() error { return s.encoder.encodeList(e, tables) })
	}
	if p.has(partRest) {
		c.do(func() error { return encodeRest(e, rest) })
	}
	s.state.distributor, s.state.tables = s.Distributor, tables
	return c.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s shortUpdate) DecodeMsgpack(d *msgpack.Decoder) error {
	c := codec{d: d}
	p := numbers(s.state.numbers[:]).decode(&c)
	if p.has(partDistributor) {
		c.do(func() (err error) {
			s.state.distributor, err = s.decoder.decode(d)
			return err
		})
	}
	if p.has(partTables) {
		c.do(func() (err error) {
			s.state.tables, err = s.decoder.decodeList(d)
			return err
		})
	}
	if p.has(partRest) {
		c.do(func() error { return decodeRest(d, s.Update) })
	}
	n := &s.state.numbers
	give(&s.StoreAge, n[updateStoreAge])
	give(&s.LeaseVersion, n[updateLeaseVersion])
	give(&s.ConfigurationAgeMs, n[updateConfigurationAge])
	give(&s.MinElectionDelayMs, n[updateMinElectionDelay])
	give(&s.Index, n[updateIndex])
	give(&s.Count, n[updateCount])
	if p.has(partQuota) {
		if s.Quota == nil {
			s.Quota = &sharedrate.Offer{}
		}
		give(&s.Quota.Stamp, n[updateQuotaStamp])
		give(&s.Quota.Echo, n[updateQuotaEcho])
		give(&s.Quota.Coordinator, n[updateQuotaCoordinator])
		give(&s.Quota.Process, n[updateQuotaProcess])
		give(&s.Quota.Serial, n[updateQuotaSerial])
		s.Quota.Fraction = math.Float64frombits(n[updateQuotaFraction])
	}
	if p.has(partVersions) {
		for i, table := range s.state.tables[:min(len(s.state.tables), maxShortVersions)] {
			s.Deltas = append(s.Deltas, Delta{Table: table, Version: n[updateVersion+i]})
		}
	}
	s.Distributor = s.state.distributor
	return c.err
}

// onlyVersions returns the names of the tables if the deltas state nothing but their versions.
func onlyVersions(deltas []Delta) (tables []string, ok bool) {
	if len(deltas) == 0 || len(deltas) > maxShortVersions {
		return nil, false
	}
	for _, d := range deltas {
		if len(d.Table) > maxNameBytes || !reflect.DeepEqual(d, Delta{Table: d.Table, Version: d.Version}) {
			return nil, false
		}
		tables = append(tables, d.Table)
	}
	return tables, true
}

// reportState is what both ends of a connection keep of the last short report.
type reportState struct {
	numbers [reportNumberCount]uint64
}

// shortReport is a Report in short form: only what has changed since the last one on the connection.
type shortReport struct {
	*Report
	state *reportState
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shortReport) EncodeMsgpack(e *msgpack.Encoder) error {
	rest, next := *s.Report, s.state.numbers
	var p presence
	take(&next[reportDelay], &rest.DelayMs)
	if s.Quota != nil {
		p |= partQuota
		q := *s.Quota
		take(&next[reportQuotaStamp], &q.Stamp)
		take(&next[reportQuotaEcho], &q.Echo)
		take(&next[reportQuotaLeft], &q.LeftMs)
		take(&next[reportQuotaProcess], &q.Process)
		take(&next[reportQuotaCoordinator], &q.Coordinator)
		takeFloat(&next[reportQuotaFraction], &q.Fraction)
		take(&next[reportQuotaGrantedBy], &q.GrantedBy)
		take(&next[reportQuotaSerial], &q.Serial)
		rest.Quota = unlessEmpty(q)
	}
	p.set(partRest, !isEmpty(rest))
	c := codec{e: e}
	numbers(s.state.numbers[:]).encode(&c, p, next[:])
	if p.has(partRest) {
		c.do(func() error { return encodeRest(e, rest) })
	}
	return c.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s shortReport) DecodeMsgpack(d *msgpack.Decoder) error {
	c := codec{d: d}
	p := numbers(s.state.numbers[:]).decode(&c)
	if p.has(partRest) {
		c.do(func() error { return decodeRest(d, s.Report) })
	}
	n := &s.state.numbers
	give(&s.DelayMs, n[reportDelay])
	if p.has(partQuota) {
		if s.Quota == nil {
			s.Quota = &sharedrate.Answer{}
		}
		give(&s.Quota.Stamp, n[reportQuotaStamp])
		give(&s.Quota.Echo, n[reportQuotaEcho])
		give(&s.Quota.LeftMs, n[reportQuotaLeft])
		give(&s.Quota.Process, n[reportQuotaProcess])
		give(&s.Quota.Coordinator, n[reportQuotaCoordinator])
		s.Quota.Fraction = math.Float64frombits(n[reportQuotaFraction])
		give(&s.Quota.GrantedBy, n[reportQuotaGrantedBy])
		give(&s.Quota.Serial, n[reportQuotaSerial])
	}
	return c.err
}

// integer is the type of a field that a number stands for.
type integer interface {
	~int | ~int64 | ~uint32 | ~uint64
}

// take moves a field to its number, so that it isn't part of the rest.
func take[T integer](number *uint64, field *T) {
	*number, *field = uint64(*field), 0
}

// takeFloat is like take. The number consists of the bits of the field.
func takeFloat(number *uint64, field *float64) {
	*number, *field = math.Float64bits(*field), 0
}

// give sets a field to its number.
func give[T integer](field *T, number uint64) {
	*field = T(number)
}

// unlessEmpty returns a pointer to a message, nil if it is empty.
func unlessEmpty[T any](message T) *T {
	if isEmpty(message) {
		return nil
	}
	return &message
}

// isEmpty reports whether all fields of a message have their zero value or no elements.
func isEmpty(message any) bool {
	v := reflect.ValueOf(message)
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.Slice, reflect.Map:
			if f.Len() > 0 {
				return false
			}
		default:
			if !f.IsZero() {
				return false
			}
		}
	}
	return true
}

// encodeRest encodes the other fields of a short message, as the bytes of their usual form.
func encodeRest(e *msgpack.Encoder, rest any) error {
	encoded, err := msgpack.Marshal(compactInts{rest})
	if err != nil {
		return err
	}
	return e.EncodeBytes(encoded)
}

// decodeRest decodes the other fields of a short message, without trusting their announced length.
func decodeRest(d *msgpack.Decoder, message any) error {
	n, err := d.DecodeBytesLen()
	if err != nil {
		return err
	}
	if n > wire.MaxFrameBytes {
		return errRestTooLong
	}
	encoded := make([]byte, max(0, n))
	if err := d.ReadFull(encoded); err != nil {
		return err
	}
	return wire.Frame{Payload: encoded}.Decode(message)
}
