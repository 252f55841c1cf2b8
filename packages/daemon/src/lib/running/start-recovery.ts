import {httpStatus} from '@deckwheel/core';
import {
	claimId, type Claim, type Ledger, type Run,
} from '@deckwheel/ledger';
import type {Context} from '../process/context.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {repeat} from '../process/repeat.js';
import type {RouterTask} from '../placing/router-task.js';
import type {SlotsTask} from '../slots/slots-task.js';
import {isOrphanedRun} from './is-orphaned-run.js';
import {readEngineStream} from './streams/read-engine-stream.js';
import {streamId} from './streams/stream-id.js';

/** How often runs without a runner are looked for, in ms. */
const everyMs = 1000;

/** Runs that are recovered side by side. */
const maxAtOnce = 8;

type Options = {
	readonly slots: SlotsTask;
	readonly membership: MembershipTask;
	readonly router: RouterTask;
	/** How long claims are kept after their deadline, in ms. */
	readonly keepMs: () => number;
};

type Orphan = {readonly slot: number; readonly claim: Claim; readonly run: Run};

/** Starts the task that finds out how runs ended whose runner is gone, and drops what is over. */
export const startRecovery = (context: Context, {slots, membership, router, keepMs}: Options) => {
	const {settings, clock, log, metrics} = context;
	const underWay = new Set<string>();

	const orphansOf = (slot: number, ledger: Ledger): readonly Orphan[] =>
		[...ledger.claims.values()].flatMap(claim =>
			claim.runs.filter(run => isOrphanedRun(run, {
				now: clock.wall(), deadline: claim.keepUntil - keepMs(), clockSkewMs: settings.clockSkewMs, isRunnerGone: membership.isGone(run.runner),
			})).map(run => ({slot, claim, run})));

	const recover = async ({slot, claim, run}: Orphan): Promise<void> => {
		const {budget, key} = claim;
		const url = router.urlOf(run.endpoint);
		const events: string[] = [];
		const end = url === undefined
			? {type: 'no_such_stream' as const}
			: await readEngineStream({
				method: 'GET',
				url: `${url}/v1/streams/${streamId(budget, key, run.number)}`,
				headers: {},
				onEvent(event) {
					events.push(event);
				},
			});
		const settled = {
			type: 'settle' as const, budget, key, run: run.number, final: true,
		};
		if (end.type === 'finished') {
			const answer = {status: httpStatus.ok, contentType: 'text/event-stream', body: events.join('')};
			await slots.submit(slot, {
				...settled, outcome: 'finished', served: end.served, answer,
			});
		} else if (end.type === 'failed') {
			await slots.submit(slot, {...settled, outcome: 'failed', served: end.served});
		} else if (run.state === 'running') {
			await slots.submit(slot, {...settled, outcome: 'lost', served: 0});
		}

		metrics.count('run.recovered', {outcome: end.type});
		log('info', 'run_recovered', {
			key, run: run.number, endpoint: run.endpoint, outcome: end.type,
		});
	};

	const recoverOnce = async (orphan: Orphan): Promise<void> => {
		const id = `${claimId(orphan.claim.budget, orphan.claim.key)}\n${orphan.run.number}`;
		if (underWay.has(id) || underWay.size >= maxAtOnce) {
			return;
		}

		underWay.add(id);
		await recover(orphan);
		underWay.delete(id);
	};

	return repeat(async () => {
		for (const slot of slots.ownSlots()) {
			const {ledger} = slots.replica(slot)!;
			for (const orphan of orphansOf(slot, ledger)) {
				void recoverOnce(orphan);
			}

			await slots.submit(slot, {type: 'expire'});
		}
	}, () => everyMs);
};
