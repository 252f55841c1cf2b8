import {assertInvariant} from '@deckwheel/core';
import {accountOf} from '../account/account-of.js';
import type {Account} from '../account/account.js';
import {available} from '../account/available.js';
import {claimId} from './claim-id.js';
import type {Claim} from './claim.js';
import type {LedgerOp} from './ledger-op.js';
import type {Ledger} from './ledger.js';
import type {Run} from './run.js';

const withAccount = (ledger: Ledger, budget: string, change: Partial<Account>): Ledger => {
	const account = {...accountOf(ledger, budget), ...change};
	return {...ledger, accounts: ledger.accounts.set(budget, account)};
};

const withClaim = (ledger: Ledger, id: string, claim: Claim): Ledger =>
	({...ledger, claims: ledger.claims.set(id, claim)});

const claimOf = (ledger: Ledger, id: string): Claim => {
	const claim = ledger.claims.get(id);
	assertInvariant(claim !== undefined, 'An op names a claim that the ledger does not hold.');
	return claim;
};

const withRun = (claim: Claim, run: Run): Claim =>
	({...claim, runs: claim.runs.map(other => other.number === run.number ? run : other)});

const reserve = (ledger: Ledger, budget: string, tokens: number): Ledger => {
	const account = accountOf(ledger, budget);
	assertInvariant(available(account) >= tokens, 'A reservation exceeds the rights of its holder.');
	return withAccount(ledger, budget, {reserved: account.reserved + tokens});
};

const applyOpen = (ledger: Ledger, op: LedgerOp & {type: 'open'}): Ledger => {
	const id = claimId(op.budget, op.key);
	assertInvariant(!ledger.claims.has(id), 'A claim was opened twice.');
	const {type, run, ...rest} = op;
	return withClaim(reserve(ledger, op.budget, run.reserved), id, {...rest, runs: [run]});
};

const applyRerun = (ledger: Ledger, op: LedgerOp & {type: 'rerun'}): Ledger => {
	const claim = claimOf(ledger, op.claim);
	const reserved = reserve(ledger, claim.budget, op.run.reserved);
	return withClaim(reserved, op.claim, {...claim, runs: [...claim.runs, op.run]});
};

// Ends a run's reservation and charges what the endpoint served (`served`); the unused part of the reservation becomes available again.
// A lost run must not be charged here: it may still be running, so its whole reservation stays.
const chargeRun = (ledger: Ledger, claim: Claim, run: Run, cost: {readonly served: number; readonly bill: number}): Ledger => {
	const {served, bill} = cost;
	const account = accountOf(ledger, claim.budget);
	return withAccount(ledger, claim.budget, {
		reserved: account.reserved - run.reserved,
		settled: account.settled + served,
		billed: account.billed + bill,
		wasted: account.wasted + served - bill,
	});
};

const applySettle = (ledger: Ledger, op: LedgerOp & {type: 'settle'}): Ledger => {
	const claim = claimOf(ledger, op.claim);
	const run = claim.runs.find(({number}) => number === op.run);
	assertInvariant(run !== undefined && (run.state === 'running' || run.state === 'lost'), 'A run was settled twice.');
	assertInvariant(op.bill === undefined || claim.bill === undefined, 'A claim was billed twice.');
	const ended = withRun(claim, {...run, state: op.outcome, served: op.served});
	const recorded: Claim = {...ended, bill: ended.bill ?? op.bill, answer: ended.answer ?? op.answer};
	const charged = op.outcome === 'lost' ? ledger : chargeRun(ledger, claim, run, {served: op.served, bill: op.bill ?? 0});
	return withClaim(charged, op.claim, recorded);
};

const applyStrand = (ledger: Ledger, op: LedgerOp & {type: 'strand'}): Ledger => {
	const claim = claimOf(ledger, op.claim);
	const run = claim.runs.find(({number}) => number === op.run);
	assertInvariant(run !== undefined && (run.state === 'running' || run.state === 'lost'), 'A run that ended was stranded.');
	const stranded: Run = {...run, state: 'failed', served: run.reserved};
	return withClaim(chargeRun(ledger, claim, run, {served: run.reserved, bill: 0}), op.claim, withRun(claim, stranded));
};

const applyGiveBack = (ledger: Ledger, op: LedgerOp & {type: 'give_back'}): Ledger => {
	const account = accountOf(ledger, op.budget);
	assertInvariant(available(account) >= op.amount, 'More was given back than was available.');
	return withAccount(ledger, op.budget, {granted: account.granted - op.amount});
};

const applyGive = (ledger: Ledger, op: LedgerOp & {type: 'give'}): Ledger => {
	const account = accountOf(ledger, op.budget);
	const next = withAccount(ledger, op.budget, {given: account.given.set(op.to, op.total)});
	assertInvariant(available(accountOf(next, op.budget)) >= 0, 'More was given than was available.');
	return next;
};

// The total received from a holder only rises, so a late or repeated copy of a message changes nothing.
const applyReceive = (ledger: Ledger, op: LedgerOp & {type: 'receive'}): Ledger => {
	const account = accountOf(ledger, op.budget);
	const total = Math.max(account.received.get(op.from, 0), op.total);
	return withAccount(ledger, op.budget, {received: account.received.set(op.from, total)});
};

/**
Applies one op to a ledger and returns the new ledger. Pure.

Both hosts of a pair apply the same ops in the same order.

Throws an `InvariantError` when the op would spend or transfer more rights than the holder has, open, settle or bill twice, or name an
unknown claim: that is a bug in deckwheel.
*/
export const applyOp = (ledger: Ledger, op: LedgerOp): Ledger => {
	switch (op.type) {
		case 'open': {
			return applyOpen(ledger, op);
		}

		case 'rerun': {
			return applyRerun(ledger, op);
		}

		case 'settle': {
			return applySettle(ledger, op);
		}

		case 'grant': {
			return withAccount(ledger, op.budget, {granted: op.granted});
		}

		case 'give_back': {
			return applyGiveBack(ledger, op);
		}

		case 'give': {
			return applyGive(ledger, op);
		}

		case 'receive': {
			return applyReceive(ledger, op);
		}

		case 'strand': {
			return applyStrand(ledger, op);
		}

		case 'forget': {
			return {...ledger, claims: ledger.claims.deleteAll(op.claims)};
		}
	}
};
