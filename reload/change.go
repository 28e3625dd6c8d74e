package reload

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Effect says when the new value of a setting takes effect.
type Effect string

// Effects of changes. They are logged as they stand here.
const (
	// EffectNow means that the running process uses the new value.
	EffectNow Effect = "in force"
	// EffectStart means that the new value takes effect when the process is restarted.
	EffectStart Effect = "needs a start"
)

// Change is a setting whose value changed.
type Change struct {
	// Key is the path of the setting, separated by dots, for example bounds.grace.
	Key string
	// Before and After are the values as text.
	Before, After string
	Effect        Effect
}

// Compare returns the settings whose values differ, in the order of the schema. Those with a key
// in reloadable take effect at once, the others at the next start.
func Compare(before, after *slatewindv1.Process, reloadable map[string]bool) []Change {
	var changes []Change
	for _, key := range differing("", before.ProtoReflect(), after.ProtoReflect()) {
		key.Effect = EffectStart
		if reloadable[key.Key] {
			key.Effect = EffectNow
		}
		changes = append(changes, key)
	}
	return changes
}

// differing returns the fields whose values differ, with prefix before their keys. It descends
// into nested messages.
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

// isSection reports whether a field is a nested message with settings of its own.
func isSection(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.MessageKind && !field.IsList() && !isDuration(field)
}

func isDuration(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.MessageKind && field.Message().FullName() == (&durationpb.Duration{}).ProtoReflect().Descriptor().FullName()
}

// text formats a value for logs.
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
