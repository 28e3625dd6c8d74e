package reload

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Effect says when a changed key counts.
type Effect string

// Effects of changed keys.
const (
	// EffectNow keys are in force in the living process.
	EffectNow Effect = "in force"
	// EffectStart keys count from the process's next start.
	EffectStart Effect = "needs a start"
)

// Change is one key of the settings with another value.
type Change struct {
	// Key is the path of the key, its parts separated by dots.
	Key           string
	Before, After string
	Effect        Effect
}

// Compare returns the keys whose values differ, in the order of the schema. Those that
// living names are in force at once.
func Compare(before, after *slatewindv1.Process, living map[string]bool) []Change {
	var changes []Change
	for _, key := range differing("", before.ProtoReflect(), after.ProtoReflect()) {
		key.Effect = EffectStart
		if living[key.Key] {
			key.Effect = EffectNow
		}
		changes = append(changes, key)
	}
	return changes
}

// differing compares two messages key by key.
func differing(prefix string, before, after protoreflect.Message) []Change {
	var changes []Change
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		key := prefix + string(field.Name())
		if isSection(field) {
			changes = append(changes, differing(key+".", before.Get(field).Message(), after.Get(field).Message())...)
			continue
		}
		if b, a := text(field, before.Get(field)), text(field, after.Get(field)); a != b {
			changes = append(changes, Change{Key: key, Before: b, After: a})
		}
	}
	return changes
}

// isSection reports whether a field holds further keys.
func isSection(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.MessageKind && !field.IsList() && !isDuration(field)
}

func isDuration(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.MessageKind && field.Message().FullName() == (&durationpb.Duration{}).ProtoReflect().Descriptor().FullName()
}

// text renders a value for logs.
func text(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	switch {
	case field.IsList():
		list := value.List()
		parts := make([]string, list.Len())
		for i := range parts {
			parts[i] = list.Get(i).String()
		}
		return strings.Join(parts, ",")
	case isDuration(field):
		d, _ := value.Message().Interface().(*durationpb.Duration)
		return d.AsDuration().String()
	}
	return fmt.Sprint(value.Interface())
}
