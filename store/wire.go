package store

// The types below are the messages of the etcd v3 JSON gateway that Client uses.
// The gateway encodes keys and values in base64, and 64-bit integers as strings.

// WireHeader is etcd's ResponseHeader.
type WireHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// WireKeyValue is etcd's KeyValue.
type WireKeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
}

// WireRange is etcd's RangeRequest.
type WireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Serializable allows an answer that is not the newest.
	Serializable bool `json:"serializable,omitempty"`
}

// WireRangeResponse is etcd's RangeResponse.
type WireRangeResponse struct {
	Header WireHeader     `json:"header"`
	Kvs    []WireKeyValue `json:"kvs,omitempty"`
}

// WireCompare is etcd's Compare, with target MOD and result EQUAL.
type WireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// WirePut is etcd's PutRequest.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// WireOp is etcd's RequestOp. Exactly one field is set.
type WireOp struct {
	Range  *WireRange `json:"request_range,omitempty"`
	Put    *WirePut   `json:"request_put,omitempty"`
	Delete *WireRange `json:"request_delete_range,omitempty"`
	Txn    *WireTxn   `json:"request_txn,omitempty"`
}

// WireTxn is etcd's TxnRequest.
type WireTxn struct {
	Compare []WireCompare `json:"compare,omitempty"`
	Success []WireOp      `json:"success,omitempty"`
	Failure []WireOp      `json:"failure,omitempty"`
}

// WireOpResponse is etcd's ResponseOp.
type WireOpResponse struct {
	Range *WireRangeResponse `json:"response_range,omitempty"`
	Txn   *WireTxnResponse   `json:"response_txn,omitempty"`
}

// WireTxnResponse is etcd's TxnResponse.
type WireTxnResponse struct {
	Header    WireHeader       `json:"header"`
	Succeeded bool             `json:"succeeded,omitempty"`
	Responses []WireOpResponse `json:"responses,omitempty"`
}

// WireWatch is etcd's WatchRequest.
type WireWatch struct {
	Create WireWatchCreate `json:"create_request"`
}

// WireWatchCreate is etcd's WatchCreateRequest.
type WireWatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end"`
	StartRevision  int64  `json:"start_revision,string"`
	ProgressNotify bool   `json:"progress_notify"`
}

// WireWatchLine is one line of the response stream of a watch.
type WireWatchLine struct {
	Result WireWatchResult `json:"result"`
}

// WireWatchResult is etcd's WatchResponse.
type WireWatchResult struct {
	Header          WireHeader  `json:"header"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision int64       `json:"compact_revision,string,omitempty"`
	Events          []WireEvent `json:"events,omitempty"`
}

// WireEvent is etcd's Event; Type is empty for a put, DELETE for a deletion.
type WireEvent struct {
	Type string       `json:"type,omitempty"`
	Kv   WireKeyValue `json:"kv"`
}

// WireLeaseGrant is etcd's LeaseGrantRequest; TTL is in seconds.
type WireLeaseGrant struct {
	TTL int64 `json:"TTL,string"`
}

// WireLease is etcd's LeaseGrantResponse, the result of a keep-alive, and the
// request that keeps alive or revokes a lease, which has no TTL. TTL is in seconds.
type WireLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// WireKeepAlive is the response line of a keep-alive.
type WireKeepAlive struct {
	Result WireLease `json:"result"`
}

// PrefixEnd returns the end of the range of keys with a prefix, exclusive: the
// smallest key that is greater than all of them. If there is none, it returns a
// zero byte, which in etcd means no upper bound.
func PrefixEnd(prefix Key) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
