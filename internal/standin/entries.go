package standin

import (
	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

// Spoilt is a way in which a server entry of the store is invalid. Other writers of the store
// may leave such entries.
type Spoilt string

// Kinds of invalid entries.
const (
	// SpoiltBytes is not JSON.
	SpoiltBytes Spoilt = "bytes"
	// SpoiltCut is truncated.
	SpoiltCut Spoilt = "cut"
	// SpoiltFields lacks required fields.
	SpoiltFields Spoilt = "fields"
	// SpoiltType has a number as the address.
	SpoiltType Spoilt = "type"
	// SpoiltState has an unknown state.
	SpoiltState Spoilt = "state"
	// SpoiltSlots has a negative number of slots.
	SpoiltSlots Spoilt = "slots"
	// SpoiltStart has a start time that is not an integer.
	SpoiltStart Spoilt = "start"
)

// AllSpoilt lists the kinds of invalid entries.
var AllSpoilt = []Spoilt{SpoiltBytes, SpoiltCut, SpoiltFields, SpoiltType, SpoiltState, SpoiltSlots, SpoiltStart}

// invalidEntries holds the invalid values. The value of SpoiltCut is derived from a valid entry.
var invalidEntries = map[Spoilt]string{
	SpoiltBytes:  "\xff\xfe\x00",
	SpoiltFields: `{"Service":"svc","State":"ready"}`,
	SpoiltType:   `{"Service":"svc","Address":7,"Zone":"dc","Version":"","Slots":4,"State":"ready","ColdRemainingMs":0,"Seq":1}`,
	SpoiltState:  `{"Service":"svc","Address":"10.0.0.9:80","Zone":"dc","Version":"","Slots":4,"State":"weird","ColdRemainingMs":0,"Seq":1}`,
	SpoiltSlots:  `{"Service":"svc","Address":"10.0.0.9:80","Zone":"dc","Version":"","Slots":-3,"State":"ready","ColdRemainingMs":0,"Seq":1}`,
	SpoiltStart:  `{"Service":"svc","Address":"10.0.0.9:80","Zone":"dc","Version":"","Slots":4,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":1.5}`,
}

// PutServer writes the entry of a server as the server does, and returns its revision. An entry of
// an older start of the server simulates a delayed write.
func (p *Platform) PutServer(entry slatewind.ServerEntry) uint64 {
	return p.Put(platform.ServersPrefix+entry.Name, mustEncode(entry))
}

// Spoil overwrites the entry of a server with an invalid one and returns its revision.
func (p *Platform) Spoil(entry slatewind.ServerEntry, how Spoilt) uint64 {
	value := []byte(invalidEntries[how])
	if how == SpoiltCut {
		value = mustEncode(entry)
		value = value[:len(value)/2]
	}
	return p.Put(platform.ServersPrefix+entry.Name, value)
}

func mustEncode(entry slatewind.ServerEntry) []byte {
	value, err := platform.EncodeServer(entry)
	if err != nil {
		panic(err)
	}
	return value
}
