package wire

// Frame types. The numbers are part of the protocol; the meaning of a number never changes.
const (
	TypeHello             Type = 1
	TypeError             Type = 2
	TypeHeartbeat         Type = 10
	TypeHeartbeatReply    Type = 11
	TypeAnnounceTerm      Type = 12
	TypeAnnounceTermReply Type = 13
	TypeWitness           Type = 14
	TypeWitnessReply      Type = 15
	TypeFetchConfig       Type = 16
	TypeConfigReply       Type = 17
	TypeFetchTable        Type = 18
	TypeTableReply        Type = 19
	TypeStatus            Type = 20
	TypeStatusReply       Type = 21
	TypeRequest           Type = 30
	TypeBody              Type = 31
	TypeEnd               Type = 32
	TypeResponse          Type = 33
	TypeMirrorClaim       Type = 40
	TypeMirrorClaimReply  Type = 41
	TypeFetchClaims       Type = 42
	TypeClaimsReply       Type = 43
	TypeSuspects          Type = 44
	TypeSuspectsReply     Type = 45
	TypeRelayReport       Type = 50
	TypeRelayUpdate       Type = 51
	TypePlaceRequest      Type = 52
	TypePlaceResponse     Type = 53
	TypePlaceRelease      Type = 54
	// The short forms are sent only to VMs that have stated that they understand them.
	TypeShortPlaceRequest  Type = 55
	TypeShortPlaceResponse Type = 56
	TypeShortPlaceRelease  Type = 57
	TypeShortUpdate        Type = 58
	TypeShortReport        Type = 59
)

// Hello is the first message of each side of a connection. It announces the supported protocol versions.
type Hello struct {
	MinVersion uint8  `msgpack:"min"`
	MaxVersion uint8  `msgpack:"max"`
	VM         string `msgpack:"vm"`
}

// Error is the reply to a call that was refused or failed. A server also sends it before it closes a connection.
type Error struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"msg"`
}
