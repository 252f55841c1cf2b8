import {setImmediate as nextTurn} from 'node:timers/promises';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {OriginStore} from '../../adapter/origin-store.js';
import {createStreamOrigins} from '../../lib/stream-origins/create-stream-origins.js';
import type {FoundOrigin} from '../../lib/stream-origins/found-origin.js';
import type {StreamOrigins} from '../../lib/stream-origins/stream-origins.js';
import type {OriginsReply} from '../../lib/stream-origins/wire/origins-reply.js';
import {createManualClock} from './create-manual-clock.js';
import {createMemoryOriginStore} from './memory-origin-store.js';

/** The interval of a test's clock, in ms. */
const stepMs = 10;

export type FleetHost = {readonly peer: ListedPeer; readonly origins: StreamOrigins};

const endpointsOf = (versions: readonly string[]): readonly ListedEndpoint[] => versions.map(version => ({
	id: version, instance: version, address: `${version}:1`, hall: 'hall-0', serves: ['s'], slots: 1, isLeaving: false, version,
}));

type Options = {
	/** The number of hosts in each hall. */
	readonly halls: readonly number[];
	/** Changes a reply, for instance to that of an earlier version of this program. */
	readonly mapReply?: (reply: OriginsReply) => OriginsReply;
};

/** Creates the stream origins of several hosts on one clock and one store, with links that a test can cut. */
export const createOriginFleet = ({halls, mapReply = reply => reply}: Options) => {
	const clock = createManualClock();
	const store = createMemoryOriginStore();
	const cut = new Set<FleetHost>();
	const dead = new Set<FleetHost>();
	const withoutStore = new Set<FleetHost>();
	const resumedAt = new Map<ListedPeer, number>();
	let suspendedMs = 0;
	let messages = 0;
	const elapsed = (): number => clock.now() + suspendedMs;
	const peers = halls.flatMap((size, hall) => Array.from({length: size}, (_, index): ListedPeer =>
		({holder: `${hall}-${index}`, address: `${hall}-${index}:1`, hall: `hall-${hall}`})));

	const pass = async (ms: number): Promise<void> => {
		for (let passed = 0; passed < ms; passed += stepMs) {
			clock.advance(Math.min(stepMs, ms - passed));
			await nextTurn();
		}
	};

	const storeOf = (host: () => FleetHost): OriginStore => {
		const inReach = <T extends readonly unknown[], R>(call: (...inputs: T) => Promise<R | undefined>) => async (...inputs: T): Promise<R | undefined> =>
			withoutStore.has(host()) ? undefined : call(...inputs);
		return {
			readVersions: inReach(store.readVersions),
			writeVersions: inReach(store.writeVersions),
			readOrigins: inReach(store.readOrigins),
			writeOrigins: inReach(store.writeOrigins),
			readAllOrigins: inReach(store.readAllOrigins),
		};
	};

	const start = (peer: ListedPeer): FleetHost => {
		const origins = createStreamOrigins({
			host: peer.holder,
			store: storeOf(() => host),
			writesPerSecond: 400,
			listConfirmMs: 4000,
			schedule: clock.schedule,
			self: () => peer,
			others: () => peers.filter(other => other !== peer),
			async sendOrigins(address, message) {
				messages++;
				await nextTurn();
				const to = hosts.find(other => other.peer.address === address)!;
				return cut.has(host) === cut.has(to) && !dead.has(to) ? mapReply(await to.origins.answerOrigins(message)) : undefined;
			},
			counter: {increment: () => undefined},
			now: clock.now,
			resumedAt: () => resumedAt.get(peer) ?? Number.NEGATIVE_INFINITY,
			elapsed,
		});
		const host: FleetHost = {peer, origins};
		return host;
	};

	const hosts: FleetHost[] = peers.map(peer => start(peer));

	return {
		hosts,
		/** The hosts that are cut off from those which are not. */
		cut,
		dead,
		withoutStore,
		storeCalls: store.calls,
		messages: () => messages,
		pass,
		/** Lets a host start anew, with nothing remembered. */
		restart(host: FleetHost): FleetHost {
			const next = start(host.peer);
			hosts[hosts.indexOf(host)] = next;
			return next;
		},
		/** Notes that hosts were stopped until now. */
		resume(stopped: Iterable<FleetHost>) {
			for (const {peer} of stopped) {
				resumedAt.set(peer, elapsed());
			}
		},
		/** Suspends the machines of all hosts. */
		suspend(ms: number) {
			suspendedMs += ms;
		},
		/** Lists endpoints of these versions at some hosts. */
		list(at: readonly FleetHost[], ...versions: readonly string[]) {
			for (const {origins} of at) {
				origins.list(endpointsOf(versions));
				origins.listConfirmed(elapsed());
			}
		},
		confirm(at: readonly FleetHost[]) {
			for (const {origins} of at) {
				origins.listConfirmed(elapsed());
			}
		},
		/** Begins streams at a version; their callers have the first event. */
		async begin({origins}: FleetHost, version: string, keys: readonly string[]) {
			const sent = Promise.all(keys.map(async key => origins.noteSent({
				key, origin: {service: 's', version, attempt: 1}, keepUntil: clock.now() + 60_000, isTakeUp: false,
			})));
			await pass(1000);
			await sent;
		},
		/** Takes streams up, and returns what was found of each. */
		async takeUp({origins}: FleetHost, keys: readonly string[], {hasEvents = true} = {}): Promise<readonly FoundOrigin[]> {
			const found = Promise.all(keys.map(async key => origins.findOrigin(key, {services: ['s'], likely: 's', hasEvents})));
			await pass(1000);
			return found;
		},
	};
};
