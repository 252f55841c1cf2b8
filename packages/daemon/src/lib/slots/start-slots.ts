import {
	holderName, newReplica, planPair, stepReplica, type Pair, type PairMap, type PairView, type Replica, type ReplicaEffect, type ReplicaEvent, type SlotReply,
} from '@deckwheel/ledger';
import type {Mesh} from '@deckwheel/mesh';
import type {Context} from '../process/context.js';
import {hostOfIncarnation} from '../membership/host-of-incarnation.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {repeat} from '../process/repeat.js';
import {pairMapSchema} from './pair-map-schema.js';
import type {SlotsTask} from './slots-task.js';

/** How often pairs are planned, in ms. Chosen without a measurement. */
const planEveryMs = 200;

/** A primary whose backup acknowledged nothing for this long sends everything again. */
const resyncAfterMs = 600;

type Options = {
	readonly mesh: Mesh;
	readonly membership: MembershipTask;
};

type Plan = {readonly slot: number; readonly pair: Pair};

const emptyPair: Pair = {epoch: 0, generation: 0};

/**
Starts the task that owns the replicas. It runs the pure decisions, carries out
their effects, and asks the store for other pairs when hosts come and go.
*/
export const startSlots = (context: Context, {mesh, membership}: Options): SlotsTask => {
	const {settings, self, clock, platform, log, metrics} = context;
	const objectKey = `pairs/${settings.hall}`;
	const replicas = new Map<number, Replica>();
	const waiters = new Map<number, (reply: SlotReply) => void>();
	const unackedSince = new Map<number, number>();
	let map: PairMap = {version: 0, pairs: Array.from({length: settings.slots}, () => emptyPair)};
	let partnersNow: ReadonlySet<string> = new Set();
	let nextId = 1;
	/** Whether the store was read, so that an empty map means that there is none. */
	let isMapRead = false;

	const replicaOf = (slot: number): Replica => replicas.get(slot) ?? newReplica(self, slot);

	const carryOut = (effect: ReplicaEffect): void => {
		if (effect.type === 'send') {
			const address = membership.addressOf(effect.to);
			if (address !== undefined) {
				mesh.send(address, effect.message);
			}

			return;
		}

		const waiter = waiters.get(effect.id);
		waiters.delete(effect.id);
		waiter?.(effect.reply);
	};

	const noteAcks = (slot: number, replica: Replica): void => {
		const isBehind = replica.role === 'primary' && replica.acked < replica.seq;
		if (!isBehind) {
			unackedSince.delete(slot);
		} else if (!unackedSince.has(slot)) {
			unackedSince.set(slot, clock.monotonic());
		}
	};

	const step = (slot: number, event: ReplicaEvent): void => {
		const {replica, effects} = stepReplica(replicaOf(slot), event, clock.wall());
		replicas.set(slot, replica);
		noteAcks(slot, replica);
		for (const effect of effects) {
			carryOut(effect);
		}
	};

	const configure = (slot: number, pair: Pair): void => {
		if (pair.epoch <= replicaOf(slot).pair.epoch) {
			return;
		}

		step(slot, {type: 'configure', pair, holder: holderName(settings.hall, pair.generation)});
		const {role} = replicaOf(slot);
		if (pair.primary === self || pair.backup === self) {
			log('info', 'pair_changed', {
				slot, epoch: pair.epoch, generation: pair.generation, role, primary: pair.primary, backup: pair.backup,
			});
		}
	};

	const adopt = (next: PairMap): void => {
		if (next.version <= map.version || next.pairs.length !== settings.slots) {
			return;
		}

		map = next;
		partnersNow = partners();
		for (const [slot, pair] of next.pairs.entries()) {
			configure(slot, pair);
		}
	};

	const readMap = async (): Promise<boolean> => {
		const outcome = await platform.get(objectKey);
		if (!outcome.ok) {
			isMapRead ||= outcome.error === 'missing';
			return outcome.error === 'missing';
		}

		const parsed = pairMapSchema.safeParse({version: outcome.value.version, pairs: outcome.value.value});
		if (!parsed.success || parsed.data.pairs.length !== settings.slots) {
			log('error', 'pairs_unusable', {key: objectKey, hint: 'the setting "slots" must be the same on all hosts, for good'});
			return false;
		}

		isMapRead = true;
		adopt(parsed.data);
		return true;
	};

	const isHandoverReady = (slot: number): boolean => {
		const replica = replicaOf(slot);
		return replica.role === 'primary' && replica.pending.size === 0 && replica.acked >= replica.seq;
	};

	const view = (): PairView => {
		const live = membership.liveInHall();
		return {
			self,
			isStopping: !live.includes(self),
			live,
			isGone: membership.isGone,
			isLost: membership.isLost,
			isSynced: slot => replicaOf(slot).synced,
			isHandoverReady,
		};
	};

	const plan = (): readonly Plan[] => {
		const current = view();
		return map.pairs.flatMap((pair, slot) => {
			const next = planPair(slot, pair, current);
			return next ? [{slot, pair: next}] : [];
		});
	};

	const propose = async (plans: readonly Plan[]): Promise<void> => {
		const pairs = [...map.pairs];
		for (const {slot, pair} of plans) {
			pairs[slot] = pair;
		}

		const outcome = await platform.put(objectKey, pairs, map.version);
		metrics.count('pairs.proposed', {outcome: outcome.ok ? 'ok' : outcome.error});
		if (outcome.ok) {
			adopt({version: outcome.value.version, pairs});
			return;
		}

		log('warn', 'pairs_not_changed', {reason: outcome.error, slots: plans.length});
		await readMap();
	};

	const resync = (): void => {
		for (const [slot, since] of unackedSince) {
			if (clock.monotonic() - since > resyncAfterMs) {
				unackedSince.set(slot, clock.monotonic());
				step(slot, {type: 'resync'});
			}
		}
	};

	const looking = repeat(async () => {
		resync();
		if (!isMapRead && !await readMap()) {
			return;
		}

		const plans = plan();
		if (plans.length > 0) {
			await propose(plans);
		}
	}, () => planEveryMs);

	const partners = (): ReadonlySet<string> => {
		const members = map.pairs
			.map(({primary, backup}) => [primary, backup])
			.filter(pair => pair.includes(self))
			.flat();
		return new Set(members.flatMap(member => member === undefined || member === self ? [] : [hostOfIncarnation(member)]));
	};

	return {
		async submit(slot, request) {
			const id = nextId++;
			return new Promise(resolve => {
				waiters.set(id, resolve);
				step(slot, {type: 'request', id, request});
			});
		},
		onMessage(from, message) {
			if (message.slot >= settings.slots) {
				return;
			}

			step(message.slot, {type: 'message', from, message});
		},
		pairs: () => map,
		pairOf: slot => map.pairs[slot],
		partners: () => partnersNow,
		replica: slot => replicas.get(slot),
		ownSlots: () => [...replicas.values()].filter(({role}) => role === 'primary').map(({slot}) => slot),
		adopt,
		wake: looking.wake,
		stop: looking.stop,
	};
};
