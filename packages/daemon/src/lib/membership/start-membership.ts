import type {Mesh} from '@deckwheel/mesh';
import type {Context} from '../process/context.js';
import {repeat} from '../process/repeat.js';
import {heartbeatReplySchema} from './heartbeat-reply-schema.js';
import {isBelievedLost} from './is-believed-lost.js';
import {hostOfIncarnation} from './host-of-incarnation.js';
import type {HostStatus} from './host-status.js';
import type {KnownHost} from './known-host.js';
import {liveHostsOfList} from './live-hosts-of-list.js';
import type {MembershipEvent} from './membership-event.js';
import type {MembershipTask} from './membership-task.js';
import type {Membership} from './membership.js';
import {silenceLimits} from './silence-limits.js';
import {stepMembership} from './step-membership.js';

/**
Hosts of the hall that get a heartbeat each time, in turn, besides the partners in pairs: so the cost does not grow with the
hall.
*/
const hostsBeatenInTurn = 8;

/** How often the list of hosts is read, in ms, by the readers of the turn. */
const listEveryMs = 3000;

/** Hosts of a hall that read the list in each such time, between them. The others learn of hosts from their peers. */
const readersPerTurn = 2;

/** How often a host that knows no peer reads it, in ms. */
const lonelyListMs = 1000;

/** How long a peer may take to answer a heartbeat, in ms. */
const heartbeatTimeoutMs = 1000;

/** Hosts of each other hall that are known at a time: enough for one that answers. */
const maxRemoteHosts = 3;

type Options = {
	readonly mesh: Mesh;
	readonly address: string;
	readonly versions: () => {readonly pairsVersion: number; readonly bundleVersion: number};
	/** Names of the hosts that share a pair with this one. */
	readonly partners: () => ReadonlySet<string>;
	/** Called after each heartbeat with what the peer said. */
	readonly onHeard: (status: HostStatus) => void;
};

/**
Starts the task that finds out which hosts there are, by settings, the platform's list, and heartbeats. Who is gone or lost is
decided by `silenceLimits` and `isBelievedLost`, what is known of hosts by `stepMembership`.
*/
export const startMembership = (context: Context, options: Options): MembershipTask => {
	const {settings, self, clock, platform, log} = context;
	const {
		mesh, address, versions, partners, onHeard,
	} = options;
	let membership: Membership = {hosts: new Map(), steppedAt: clock.monotonic()};
	let state: HostStatus['state'] = 'live';
	let turn = 0;
	/** Hosts on the platform's list, when it was last read; `undefined` where that one was not whole. */
	let listed: ReadonlySet<string> | undefined;
	const unknownSince = new Map<string, number>();

	const step = (event: MembershipEvent): void => {
		membership = stepMembership(membership, event, clock.monotonic());
	};

	const others = (): readonly KnownHost[] => [...membership.hosts.values()].filter(({host}) => host !== settings.host);
	const inHall = (): readonly KnownHost[] => others().filter(({hall}) => hall === settings.hall);
	const rotationMs = (): number => settings.heartbeatMs * Math.max(1, Math.ceil(inHall().length / hostsBeatenInTurn));

	// Partners hear of each other at every beat, all others once a rotation. The hall is counted for these only: planning asks
	// for partners all the time.
	const limitsFor = (host: string) => silenceLimits(partners().has(host) ? settings.heartbeatMs : rotationMs());
	const silenceMs = ({heardAt}: KnownHost): number => clock.monotonic() - heardAt;

	const status = (): HostStatus => ({
		host: settings.host, incarnation: self, hall: settings.hall, address, state, ...versions(),
	});

	const isLive = (known: KnownHost): boolean =>
		known.status?.state === 'live' && !known.isListedLeaving && silenceMs(known) < limitsFor(known.host).doubtMs;

	// Of each other hall, a few hosts are enough: they learn the rest from their own.
	const remoteTargets = (): readonly KnownHost[] => {
		const byHall = new Map<string, KnownHost[]>();
		for (const known of others().filter(({hall}) => hall !== settings.hall)) {
			byHall.set(known.hall, [...(byHall.get(known.hall) ?? []), known]);
		}

		return [...byHall.values()].flatMap(hosts => hosts.sort((a, b) => b.heardAt - a.heardAt).slice(0, maxRemoteHosts));
	};

	const hallTargets = (): readonly KnownHost[] => {
		const hosts = inHall();
		const inTurn = Array.from({length: Math.min(hostsBeatenInTurn, hosts.length)}, () => hosts[turn++ % hosts.length]!);
		return [...new Set([...hosts.filter(({host}) => partners().has(host)), ...inTurn])];
	};

	const beat = async (known: KnownHost): Promise<void> => {
		const outcome = await mesh.request(known.address, {type: 'heartbeat', status: status()}, heartbeatTimeoutMs);
		const reply = heartbeatReplySchema.safeParse(outcome.ok ? outcome.value : undefined);
		if (!reply.success) {
			return;
		}

		step({type: 'heard', status: reply.data.status});
		step({type: 'told', hosts: reply.data.known.filter(({host}) => !membership.hosts.has(host))});
		onHeard(reply.data.status);
	};

	const readList = async (): Promise<void> => {
		const outcome = await platform.hosts();
		if (outcome.ok) {
			listed = liveHostsOfList(outcome.value, settings.host);
			step({type: 'listed', hosts: outcome.value.filter(({host}) => host !== settings.host)});
		}
	};

	const unknownForMs = (host: string): number => {
		const now = clock.monotonic();
		const since = unknownSince.get(host) ?? now;
		unknownSince.set(host, since);
		return now - since;
	};

	const isReplaced = (incarnation: string): boolean => {
		const host = hostOfIncarnation(incarnation);
		// An earlier life of this very host is over for sure.
		return host === settings.host || (membership.hosts.get(host)?.status?.incarnation ?? '') > incarnation;
	};

	const silentMs = (host: string): number => {
		const known = membership.hosts.get(host);
		return known?.status ? silenceMs(known) : unknownForMs(host);
	};

	const isGone = (incarnation: string): boolean => {
		const host = hostOfIncarnation(incarnation);
		return incarnation !== self && (isReplaced(incarnation) || silentMs(host) > limitsFor(host).goneMs);
	};

	const isLost = (incarnation: string): boolean => {
		const host = hostOfIncarnation(incarnation);
		return incarnation !== self && isBelievedLost({
			isReplaced: isReplaced(incarnation),
			wasHeard: membership.hosts.get(host)?.status !== undefined,
			silentMs: silentMs(host),
			lostAfterMs: limitsFor(host).lostMs,
			isListed: listed?.has(host) ?? true,
			hearsOthers: inHall().some(known => isLive(known)),
		});
	};

	step({type: 'told', hosts: settings.peers.filter(({host}) => host !== settings.host)});
	const listing = repeat(readList, () => others().length === 0 ? lonelyListMs : listEveryMs * Math.max(1, (inHall().length + 1) / readersPerTurn));
	const beating = repeat(async () => {
		step({type: 'tick'});
		// Not awaited together with the pause: one stalled peer must not slow the others down.
		void Promise.all([...hallTargets(), ...remoteTargets()].map(async known => beat(known)));
	}, () => settings.heartbeatMs);

	return {
		status,
		heard(peer) {
			const known = membership.hosts.get(peer.host);
			if (known?.status?.incarnation !== peer.incarnation) {
				log('info', 'host_heard', {peer: peer.host, incarnation: peer.incarnation, peer_hall: peer.hall});
			}

			step({type: 'heard', status: peer});
			onHeard(peer);
			return status();
		},
		hosts: others,
		addressOf(incarnation) {
			const known = membership.hosts.get(hostOfIncarnation(incarnation));
			return known?.status?.incarnation === incarnation ? known.address : undefined;
		},
		isGone,
		isLost,
		liveInHall: () => [
			...(state === 'live' ? [self] : []),
			...inHall().filter(known => isLive(known)).map(known => known.status!.incarnation),
		],
		addressesIn: hall => others()
			.filter(known => known.hall === hall && known.status !== undefined && silenceMs(known) < limitsFor(known.host).goneMs)
			.sort((a, b) => b.heardAt - a.heardAt)
			.map(known => known.address),
		leave() {
			state = 'leaving';
		},
		async stop() {
			await Promise.all([beating.stop(), listing.stop()]);
		},
	};
};
