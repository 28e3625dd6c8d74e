package link

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"slatewind.example/slatewind/recovery"
)

// recoverCall answers a call whose handler panics with an error.
func recoverCall(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	err = recovery.Call(info.FullMethod, func() (err error) {
		reply, err = handle(ctx, request)
		return err
	})
	return reply, statusOf(err)
}

// recoverStream ends a stream whose handler panics with an error.
func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	return statusOf(recovery.Call(info.FullMethod, func() error { return handle(server, stream) }))
}

// statusOf returns the status of a panic, whose text stays in this process; other errors are returned unchanged.
func statusOf(err error) error {
	var p *recovery.Panic
	if errors.As(err, &p) {
		return status.Error(codes.Internal, "internal error")
	}
	return err
}
