package control

import (
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// EntryAccess restricts the control service to the calls that an entry VM may make. The VM, which is authenticated by
// its certificate, acts only for itself: it cannot fence, renew or remove another VM, and it cannot change the
// configuration or the control group.
type EntryAccess struct {
	service *Service
	name    string
}

// NewEntryAccess returns the restricted service for the entry VM with the name in its certificate.
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

// Propose is Service.Propose for the commands that an entry VM may propose.
func (a *EntryAccess) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	if !a.mayPropose(args.Command) {
		reply.Fault = a.forbidden("propose this command")
		return nil
	}
	return a.service.Propose(args, reply)
}

// mayPropose reports whether this entry VM is authorized to propose the command.
func (a *EntryAccess) mayPropose(command controlstate.Command) bool {
	switch {
	case reservedForOperators(command), reservedForMembers(command):
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

func (a *EntryAccess) forbidden(format string, args ...any) *fault.WireError {
	return fault.ToWire(fault.New(fault.Forbidden, "control.access", "entry VM "+a.name+" may not "+format, args...))
}

// reservedForOperators reports whether only operators may propose the command.
func reservedForOperators(command controlstate.Command) bool {
	return command.ApplyConfig != nil || command.ClearQuarantine != nil || command.OrderPlan != nil ||
		command.PutRoutes != nil || command.SetEvacuation != nil
}

// reservedForMembers reports whether the command originates from a report of an upstream, which only control members
// receive.
func reservedForMembers(command controlstate.Command) bool { return command.ReportInstance != nil }

// reservedForEntryVMs reports whether the command describes something that only an entry VM observes.
func reservedForEntryVMs(command controlstate.Command) bool {
	return command.RetireMember != nil || command.ExpireMember != nil || command.AnnounceUpstream != nil || command.BookingIntent != nil || command.BookingOutcome != nil
}

// OperatorAccess restricts the control service to the calls that an operator with a certificate may make. Operators
// hold no leases and send no bookings.
type OperatorAccess struct{ service *Service }

// NewOperatorAccess returns the restricted service for operators.
func NewOperatorAccess(service *Service) *OperatorAccess { return &OperatorAccess{service: service} }

// Propose is Service.Propose for the commands that an operator may propose.
func (a *OperatorAccess) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	if reservedForEntryVMs(args.Command) || reservedForMembers(args.Command) {
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

// Watch is Service.Watch for the VM itself. Other entry VMs relay searches through it if it reports a relay address.
func (a *EntryAccess) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	if args.Watcher != a.name && args.Watcher != "" {
		reply.Fault = a.forbidden("watch as %q", args.Watcher)
		return nil
	}
	return a.service.Watch(args, reply)
}

// ReportSuspects is Service.ReportSuspects for the VM itself.
func (a *EntryAccess) ReportSuspects(args controlrpc.ReportSuspectsArgs, reply *controlrpc.Ack) error {
	if args.Watcher != a.name {
		reply.Fault = a.forbidden("report as %q", args.Watcher)
		return nil
	}
	return a.service.ReportSuspects(args, reply)
}

// Watch is Service.Watch.
func (a *OperatorAccess) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	return a.service.Watch(args, reply)
}

// PutRoutes is Service.PutRoutes.
func (a *OperatorAccess) PutRoutes(args controlrpc.PutRoutesArgs, reply *controlrpc.PutRoutesReply) error {
	return a.service.PutRoutes(args, reply)
}

// ReadRoutes is Service.ReadRoutes without the document, which may contain keys and stays on the control VMs.
func (a *OperatorAccess) ReadRoutes(args controlrpc.ReadRoutesArgs, reply *controlrpc.ReadRoutesReply) error {
	args.WithoutSource = true
	return a.service.ReadRoutes(args, reply)
}

// MemberAccess restricts the control service to the calls that another control member may make. A member forwards the
// requests that upstreams and operators sent to its directory API, and requests admission to the group.
type MemberAccess struct{ service *Service }

// NewMemberAccess returns the restricted service for control members.
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

// Depart is Service.Depart.
func (a *MemberAccess) Depart(args controlrpc.DepartArgs, reply *controlrpc.DepartReply) error {
	return a.service.Depart(args, reply)
}
