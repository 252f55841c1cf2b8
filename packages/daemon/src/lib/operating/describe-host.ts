import type {Gateway} from '../gateway/gateway.js';
import type {MembershipTask} from '../membership/membership-task.js';
import type {RouterTask} from '../placing/router-task.js';
import type {Context} from '../process/context.js';
import type {SlotsTask} from '../slots/slots-task.js';
import type {BundleTask} from './bundle-task.js';

type Sources = {
	readonly slots: SlotsTask;
	readonly membership: MembershipTask;
	readonly bundle: BundleTask;
	readonly router: RouterTask;
	readonly gateway: Gateway;
};

/** What operators see of a host: its peers, slots and endpoints, as it knows them now. */
export const describeHost = ({settings, self, clock}: Context, {slots, membership, bundle, router, gateway}: Sources): Readonly<Record<string, unknown>> => ({
	host: settings.host,
	hall: settings.hall,
	incarnation: self,
	state: membership.status().state,
	bundleVersion: bundle.current()?.bundle.version ?? 0,
	openRequests: gateway.open(),
	hosts: membership.hosts().map(known => ({
		host: known.host,
		hall: known.hall,
		state: known.status?.state ?? 'never_heard',
		bundleVersion: known.status?.bundleVersion ?? 0,
		heardMsAgo: Math.round(clock.monotonic() - known.heardAt),
	})),
	slots: slots.pairs().pairs.map((pair, slot) => ({slot, ...pair, role: slots.replica(slot)?.role ?? 'retired'})),
	endpoints: [...router.table().values()].map(({info, inFlight, report, failures, ejectedUntil}) => ({
		endpoint: info.id,
		inFlight,
		reported: report?.total,
		failures,
		isEjected: ejectedUntil > clock.monotonic(),
		isLeaving: info.isLeaving,
	})),
});
