package control

import (
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// EntryAccess is what an entry VM with a certificate may call. A VM acts only for itself: it cannot fence, renew or
// remove another VM, and it cannot change the configuration or the control group.
type EntryAccess struct {
	service *Service
	name    string
}

// NewEntryAccess returns the access of the entry VM that the certificate names.
func NewEntryAccess(service *Service, name string) *EntryAccess {
	return &EntryAccess{service: service, name: name}
}

// Join is Service.Join for the VM itself.
func (a *EntryAccess) Join(args controlrpc.JoinArgs, reply *controlrpc.JoinReply) error {
	if args.Member.ID != a.name {
		reply.Fault = a.forbidden("join as %q", args.Member.ID)
		return nil
	}
	return a.service.Join(args, reply)
}

// Renew is Service.Renew for the VM itself.
func (a *EntryAccess) Renew(args controlrpc.RenewArgs, reply *controlrpc.RenewReply) error {
	if args.ID != a.name {
		reply.Fault = a.forbidden("renew as %q", args.ID)
		return nil
	}
	return a.service.Renew(args, reply)
}

// View is Service.View.
func (a *EntryAccess) View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	return a.service.View(args, reply)
}

// InForce is Service.InForce.
func (a *EntryAccess) InForce(args controlrpc.InForceArgs, reply *controlrpc.InForceReply) error {
	return a.service.InForce(args, reply)
}

// Propose is Service.Propose for the commands of an entry VM.
func (a *EntryAccess) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	if !a.allows(args.Command) {
		reply.Fault = a.forbidden("propose this command")
		return nil
	}
	return a.service.Propose(args, reply)
}

func (a *EntryAccess) allows(command controlstate.Command) bool {
	switch {
	case operatorsOnly(command), membersOnly(command):
		return false
	case command.RetireMember != nil:
		return command.RetireMember.ID == a.name
	case command.ExpireMember != nil:
		return command.ExpireMember.ID == a.name
	case command.BookingIntent != nil:
		return command.BookingIntent.SenderID == a.name
	}
	return true
}

func (a *EntryAccess) forbidden(format string, args ...any) *fault.Wire {
	return fault.ToWire(fault.New(fault.Forbidden, "control.access", "entry VM "+a.name+" may not "+format, args...))
}

func operatorsOnly(command controlstate.Command) bool {
	return command.ApplyConfig != nil || command.ClearQuarantine != nil || command.OrderPlan != nil ||
		command.PutRoutes != nil
}

// membersOnly holds for what upstreams tell the control members.
func membersOnly(command controlstate.Command) bool { return command.ReportInstance != nil }

// entriesOnly holds for what only an entry VM can know.
func entriesOnly(command controlstate.Command) bool {
	return command.RetireMember != nil || command.ExpireMember != nil || command.AnnounceUpstream != nil || command.BookingIntent != nil || command.BookingOutcome != nil
}

// OperatorAccess is what an operator with a certificate may call. Operators hold no leases and send no bookings.
type OperatorAccess struct{ service *Service }

// NewOperatorAccess returns the access of an operator.
func NewOperatorAccess(service *Service) *OperatorAccess { return &OperatorAccess{service: service} }

// Propose is Service.Propose for the commands of an operator.
func (a *OperatorAccess) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	if entriesOnly(args.Command) || membersOnly(args.Command) {
		reply.Fault = fault.ToWire(fault.New(fault.Forbidden, "control.access", "an operator may not propose this command"))
		return nil
	}
	return a.service.Propose(args, reply)
}

// View is Service.View.
func (a *OperatorAccess) View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	return a.service.View(args, reply)
}

// InForce is Service.InForce.
func (a *OperatorAccess) InForce(args controlrpc.InForceArgs, reply *controlrpc.InForceReply) error {
	return a.service.InForce(args, reply)
}

// Booking is Service.Booking.
func (a *OperatorAccess) Booking(args controlrpc.BookingArgs, reply *controlrpc.BookingReply) error {
	return a.service.Booking(args, reply)
}

// Status is Service.Status.
func (a *OperatorAccess) Status(args controlrpc.StatusArgs, reply *controlrpc.StatusReply) error {
	return a.service.Status(args, reply)
}

// Plan is Service.Plan.
func (a *OperatorAccess) Plan(args controlrpc.PlanArgs, reply *controlrpc.PlanReply) error {
	return a.service.Plan(args, reply)
}

// Execution is Service.Execution.
func (a *OperatorAccess) Execution(args controlrpc.ExecutionArgs, reply *controlrpc.ExecutionReply) error {
	return a.service.Execution(args, reply)
}

// GroupMembers is Service.GroupMembers.
func (a *OperatorAccess) GroupMembers(args controlrpc.GroupArgs, reply *controlrpc.GroupReply) error {
	return a.service.GroupMembers(args, reply)
}

// GroupAdd is Service.GroupAdd.
func (a *OperatorAccess) GroupAdd(args controlrpc.GroupAddArgs, reply *controlrpc.GroupChangeReply) error {
	return a.service.GroupAdd(args, reply)
}

// GroupRemove is Service.GroupRemove.
func (a *OperatorAccess) GroupRemove(args controlrpc.GroupRemoveArgs, reply *controlrpc.GroupChangeReply) error {
	return a.service.GroupRemove(args, reply)
}

// GroupTransfer is Service.GroupTransfer.
func (a *OperatorAccess) GroupTransfer(args controlrpc.GroupTransferArgs, reply *controlrpc.GroupChangeReply) error {
	return a.service.GroupTransfer(args, reply)
}

// Watch is Service.Watch for the VM itself: others send it searches if it names a relay address.
func (a *EntryAccess) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	if args.Watcher != a.name && args.Watcher != "" {
		reply.Fault = a.forbidden("watch as %q", args.Watcher)
		return nil
	}
	return a.service.Watch(args, reply)
}

// Watch is Service.Watch.
func (a *OperatorAccess) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	return a.service.Watch(args, reply)
}

// PutRoutes is Service.PutRoutes.
func (a *OperatorAccess) PutRoutes(args controlrpc.PutRoutesArgs, reply *controlrpc.PutRoutesReply) error {
	return a.service.PutRoutes(args, reply)
}

// ReadRoutes is Service.ReadRoutes.
func (a *OperatorAccess) ReadRoutes(args controlrpc.ReadRoutesArgs, reply *controlrpc.ReadRoutesReply) error {
	return a.service.ReadRoutes(args, reply)
}

// MemberAccess is what another control member may call: it passes on what upstreams and operators of routes sent to it.
type MemberAccess struct{ service *Service }

// NewMemberAccess returns the access of a control member.
func NewMemberAccess(service *Service) *MemberAccess { return &MemberAccess{service: service} }

// PutRoutes is Service.PutRoutes.
func (a *MemberAccess) PutRoutes(args controlrpc.PutRoutesArgs, reply *controlrpc.PutRoutesReply) error {
	return a.service.PutRoutes(args, reply)
}

// ReadRoutes is Service.ReadRoutes.
func (a *MemberAccess) ReadRoutes(args controlrpc.ReadRoutesArgs, reply *controlrpc.ReadRoutesReply) error {
	return a.service.ReadRoutes(args, reply)
}

// Report is Service.Report.
func (a *MemberAccess) Report(args controlrpc.ReportArgs, reply *controlrpc.Ack) error {
	return a.service.Report(args, reply)
}

// Heard is Service.Heard.
func (a *MemberAccess) Heard(args controlrpc.HeardArgs, reply *controlrpc.Ack) error {
	return a.service.Heard(args, reply)
}

// Admit is Service.Admit.
func (a *MemberAccess) Admit(args controlrpc.AdmitArgs, reply *controlrpc.Ack) error {
	return a.service.Admit(args, reply)
}
