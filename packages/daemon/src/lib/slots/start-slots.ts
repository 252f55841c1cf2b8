import {
	holderName, planPair, type Pair, type PairMap, type PairView,
} from '@deckwheel/ledger';
import type {Mesh} from '@deckwheel/mesh';
import type {MembershipTask} from '../membership/membership-task.js';
import type {Context} from '../process/context.js';
import {repeat} from '../process/repeat.js';
import {createReplicas} from './create-replicas.js';
import {pairMapSchema} from './pair-map-schema.js';
import {partnersOf} from './partners-of.js';
import type {SlotsTask} from './slots-task.js';

/** How often pairs are planned, in ms. */
const planEveryMs = 200;

type Options = {
	readonly mesh: Mesh;
	readonly membership: MembershipTask;
};

type Plan = {readonly slot: number; readonly pair: Pair};

const emptyPair: Pair = {epoch: 0, generation: 0};

/**
Starts the task that owns the pairs of the hall, and with them the replicas (`createReplicas`): it asks the store for other
pairs when hosts come and go. Which pairs is decided by `planPair`.
*/
export const startSlots = (context: Context, {mesh, membership}: Options): SlotsTask => {
	const {settings, self, platform, log, metrics} = context;
	const objectKey = `pairs/${settings.hall}`;
	const replicas = createReplicas(context, {mesh, membership});
	let map: PairMap = {version: 0, pairs: Array.from({length: settings.slots}, () => emptyPair)};
	let partners: ReadonlySet<string> = new Set();
	/** Whether the store was read, so that an empty map means that there is none. */
	let isMapRead = false;

	const configure = (slot: number, pair: Pair): void => {
		if (pair.epoch <= replicas.of(slot).pair.epoch) {
			return;
		}

		replicas.step(slot, {type: 'configure', pair, holder: holderName(settings.hall, pair.generation)});
		const {role} = replicas.of(slot);
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
		partners = partnersOf(map, self);
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
		const replica = replicas.of(slot);
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
			isSynced: slot => replicas.of(slot).synced,
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

	const looking = repeat(async () => {
		replicas.resync();
		if (!isMapRead && !await readMap()) {
			return;
		}

		const plans = plan();
		if (plans.length > 0) {
			await propose(plans);
		}
	}, () => planEveryMs);

	return {
		submit: replicas.submit,
		onMessage(from, message) {
			if (message.slot < settings.slots) {
				replicas.onMessage(from, message);
			}
		},
		pairs: () => map,
		pairOf: slot => map.pairs[slot],
		partners: () => partners,
		replica: replicas.find,
		ownSlots: () => replicas.all().filter(({role}) => role === 'primary').map(({slot}) => slot),
		adopt,
		wake: looking.wake,
		stop: looking.stop,
	};
};
