import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {applyOp} from '../claims/apply-op.js';
import type {Claim} from '../claims/claim.js';
import {claimId} from '../claims/claim-id.js';
import type {ClaimRequest} from '../claims/claim-request.js';
import {decideSlotRequest} from '../claims/decide-slot-request.js';
import {emptyLedger} from '../claims/empty-ledger.js';
import {fromPlainLedger} from '../claims/from-plain-ledger.js';
import type {Ledger} from '../claims/ledger.js';
import type {SettleRequest} from '../claims/settle-request.js';
import type {SlotReply} from '../claims/slot-reply.js';
import type {SlotRequest} from '../claims/slot-request.js';
import {toPlainLedger} from '../claims/to-plain-ledger.js';

const seed = Number(process.env.SEED ?? 20_261_203);
const now = 1;
const failedTokens = 7;
const finishedTokens = 20;

/** How one run ends. `failed_final` is a failure after which the runner starts no further run. */
type Ending = 'failed_final' | 'failed' | 'not_run' | 'lost' | 'finished';

const claimRequest = (attempt: string): ClaimRequest => ({
	type: 'claim', budget: 'b', key: 'k', fingerprint: 'f', repeatable: true, attempt, runner: 'r', endpoint: 'e', reason: '', worstCase: 40, sendBy: 100, keepUntil: 1000,
});

const settleRequest = (run: number, ending: Ending): SettleRequest => {
	const request = {
		type: 'settle', budget: 'b', key: 'k', run, served: 0, final: false,
	} as const;
	switch (ending) {
		case 'finished': {
			return {
				...request, outcome: 'finished', served: finishedTokens, final: true, answer: {status: 200, contentType: 'text/plain', body: `the answer of run ${run}`},
			};
		}

		case 'failed':
		case 'failed_final': {
			return {
				...request, outcome: 'failed', served: failedTokens, final: ending === 'failed_final',
			};
		}

		default: {
			return {...request, outcome: ending};
		}
	}
};

/** Creates one ledger that applies each decision at once, and claims and settles one key. */
const createClaimedLedger = (first: Ledger = applyOp(emptyLedger('x#1'), {type: 'grant', budget: 'b', granted: 10_000})) => {
	let ledger = first;
	let attempts = 0;

	const submit = (request: SlotRequest): SlotReply => {
		const {ops, reply} = decideSlotRequest(ledger, request, now);
		for (const op of ops) {
			ledger = applyOp(ledger, op);
		}

		return reply;
	};

	return {
		claim: () => submit(claimRequest(`attempt ${attempts++}`)),
		settle: (run: number, ending: Ending) => submit(settleRequest(run, ending)),
		find: (): Claim | undefined => ledger.claims.get(claimId('b', 'k')),
		account: () => ledger.accounts.get('b')!,
		ledger: () => ledger,
	};
};

const claimAndSettle = (endings: readonly Ending[]) => {
	const claimed = createClaimedLedger();
	for (const [index, ending] of endings.entries()) {
		claimed.claim();
		claimed.settle(index + 1, ending);
	}

	return claimed;
};

// Guards against a response that is lost because an earlier run that failed for good had already been billed.
for (const [endings, bill, wasted] of [
	[['failed_final', 'finished'], 7, 20],
	[['failed_final', 'failed_final', 'finished'], 7, 27],
	[['failed', 'failed_final', 'finished'], 7, 27],
	[['failed_final', 'failed', 'finished'], 7, 27],
	[['failed', 'finished'], 20, 7],
] as const) {
	test(`a retry gets the recorded response after runs that ended with ${endings.join(', ')}`, t => {
		const claimed = claimAndSettle(endings);
		const finishedRun = endings.length;
		for (let retry = 0; retry < 3; retry++) {
			t.like(claimed.claim(), {type: 'answer', bill, answer: {body: `the answer of run ${finishedRun}`}});
		}

		t.is(claimed.find()?.runs.length, finishedRun);
		t.like(claimed.account(), {reserved: 0, billed: bill, wasted});
	});
}

// Guards against the loss of the response of a lost run whose outcome is found after another run was billed.
test('a lost run that proves to have finished provides the response of a claim whose later run failed for good', t => {
	const claimed = claimAndSettle(['lost', 'failed_final']);
	t.deepEqual(claimed.settle(1, 'finished'), {type: 'settled', bill: failedTokens});
	t.like(claimed.claim(), {type: 'answer', bill: failedTokens, answer: {body: 'the answer of run 1'}});
});

// Guards against a second response that replaces the one that a caller may already have received.
test('the first recorded response stays when a lost run proves to have finished as well', t => {
	const claimed = claimAndSettle(['lost', 'finished']);
	claimed.settle(1, 'finished');
	t.like(claimed.claim(), {type: 'answer', bill: finishedTokens, answer: {body: 'the answer of run 2'}});
});

// Guards against the same loss on a host that took over a claim from a snapshot.
test('a billed claim without a response that comes with a snapshot records the response of its next run', t => {
	const snapshot = toPlainLedger(claimAndSettle(['failed_final']).ledger());
	const claimed = createClaimedLedger(fromPlainLedger(snapshot));
	t.like(claimed.claim(), {type: 'run', run: {number: 2}});
	claimed.settle(2, 'finished');
	t.like(claimed.claim(), {type: 'answer', bill: failedTokens, answer: {body: 'the answer of run 2'}});
});

const anyStep = fc.oneof(
	fc.constant({type: 'claim'} as const),
	fc.record({type: fc.constant('settle' as const), run: fc.integer({min: 1, max: 4}), ending: fc.constantFrom<Ending>('failed_final', 'failed', 'not_run', 'lost', 'finished')}),
);

// Guards against runs after a recorded response, against a changed response or bill, and against tokens that are counted nowhere.
test('from the first finished run on, each retry gets the same response and bill, in any order of outcomes', t => {
	t.log(`seed ${seed}`);
	let answered = 0;
	fc.assert(fc.property(fc.array(anyStep, {minLength: 8, maxLength: 40}), steps => {
		const claimed = createClaimedLedger();
		let recorded: Claim | undefined;
		for (const step of steps) {
			const reply = step.type === 'claim' ? claimed.claim() : claimed.settle(step.run, step.ending);
			const claim = claimed.find();
			const {settled, billed, wasted} = claimed.account();
			if (settled !== billed + wasted) {
				throw new Error(`${settled} tokens settled, ${billed} billed, ${wasted} wasted`);
			}

			if (recorded && step.type === 'claim') {
				answered++;
				const isRecorded = reply.type === 'answer' && reply.bill === recorded.bill && reply.answer.body === recorded.answer?.body;
				if (!isRecorded) {
					throw new Error(`a retry after a finished run got ${JSON.stringify(reply)}`);
				}
			}

			if (recorded?.bill !== undefined && recorded.bill !== claim?.bill) {
				throw new Error(`the bill changed from ${recorded.bill} to ${claim?.bill}`);
			}

			recorded ??= claim?.runs.some(({state}) => state === 'finished') ? claim : undefined;
		}
	}), {seed, numRuns: 2000});
	t.true(answered > 500, `only ${answered} retries after a finished run`);
});
