import {
	planDraw, type RightsObject, available, transferred,
} from '@deckwheel/ledger';
import {emptyHostAccount} from '../../lib/rights/empty-host-account.js';
import type {HostAccount} from '../../lib/rights/host-account.js';
import {prepareRights} from '../../lib/rights-store/prepare-rights.js';
import {stepAccount} from '../../lib/rights/step-account.js';

const budget = 'b';

type Stored = {readonly rights: RightsObject; readonly revision: number};

type Host = {
	readonly life: number;
	readonly account: HostAccount;
	readonly known: Stored | undefined;
	readonly isWriting: boolean;
	/** Reserved amounts of open requests. */
	readonly open: readonly number[];
};

type Write = {readonly host: number; readonly life: number; readonly rights: RightsObject; readonly revision: number; readonly granted: number};
type Loan = {readonly from: string; readonly to: number; readonly life: number; readonly total: number};

/** One thing that happens. `host` and `peer` are taken modulo the number of hosts, `pick` counts back from the newest there is. */
export type WorldCommand =
	| {readonly type: 'read'; readonly host: number}
	| {readonly type: 'draw'; readonly host: number; readonly tokens: number}
	| {readonly type: 'give_back'; readonly host: number; readonly tokens: number}
	/** A write reaches the store; its answer may get lost. */
	| {readonly type: 'write_lands'; readonly pick: number; readonly isAnswered: boolean}
	/** The writer gives up waiting; the write may still land. */
	| {readonly type: 'write_times_out'; readonly host: number}
	| {readonly type: 'lend'; readonly host: number; readonly peer: number; readonly tokens: number}
	/** A message about a loan arrives, for the first time or once more. */
	| {readonly type: 'loan_arrives'; readonly pick: number}
	| {readonly type: 'reserve'; readonly host: number; readonly tokens: number}
	| {readonly type: 'settle'; readonly host: number; readonly pick: number; readonly usedShare: number}
	| {readonly type: 'restart'; readonly host: number}
	| {readonly type: 'limit'; readonly tokens: number};

/** Old messages are rarer than new ones, and still come. */
const latest = <T>(entries: readonly T[], pick: number): T | undefined => entries.at(-1 - (pick % Math.max(1, entries.length)));

const newHost = (life: number): Host => ({
	life, account: emptyHostAccount, known: undefined, isWriting: false, open: [],
});

/**
Plays hosts that draw, lend, spend and die against one store, beside a naive counter that sees everything.

Writes may land late or twice be tried, answers and loans get lost, come late, or come again.
*/
export const createRightsWorld = (hostCount: number, firstLimit: number) => {
	let limit = firstLimit;
	let version = 1;
	let mostPaid = firstLimit;
	let stored: Stored = {rights: {budgets: {}}, revision: 0};
	let hosts: readonly Host[] = Array.from({length: hostCount}, () => newHost(0));
	let writes: readonly Write[] = [];
	let loans: readonly Loan[] = [];
	/** The naive counter: what is spent, and what open requests may still spend. */
	let spent = 0;

	const at = (index: number): number => index % hostCount;
	const nameOf = (index: number, life: number): string => `host-${index}#${life}`;
	const change = (index: number, next: Partial<Host>): void => {
		hosts = hosts.map((host, i) => i === index ? {...host, ...next} : host);
	};

	const step = (index: number, event: Parameters<typeof stepAccount>[1]): void => {
		change(index, {account: stepAccount(hosts[index]!.account, event)});
	};

	const isForThisLife = ({to, life}: Loan): boolean => hosts[to]!.life === life;

	const write = (index: number, tokens: number): void => {
		const {known, account, life, isWriting} = hosts[index]!;
		if (!known || isWriting) {
			return;
		}

		const holder = nameOf(index, life);
		const prepared = prepareRights(known.rights, {
			host: `host-${index}`, holder, limits: new Map([[budget, limit]]), version,
		});
		const plan = planDraw(prepared, holder, 0, [{
			budget, granted: account.granted, transferred: transferred(account), settled: account.settled, billed: account.settled, rate: 0, wants: () => tokens,
		}]);
		if (plan.type === 'write') {
			writes = [...writes, {
				host: index, life, rights: plan.rights, revision: known.revision, granted: plan.grants[0]!.granted,
			}];
			change(index, {isWriting: true});
		}
	};

	const land = ({host, life, rights, revision, granted}: Write, isAnswered: boolean): void => {
		const isTaken = revision === stored.revision;
		if (isTaken) {
			stored = {rights, revision: revision + 1};
		}

		const writer = hosts[host]!;
		if (!isAnswered || writer.life !== life || !writer.isWriting) {
			return;
		}

		change(host, {known: stored, isWriting: false});
		if (isTaken) {
			step(host, {type: 'granted', total: granted});
		}
	};

	const lend = (from: number, to: number, tokens: number): void => {
		const {life} = hosts[to]!;
		const receiver = nameOf(to, life);
		step(from, {
			type: 'lent', to: receiver, tokens, share: 1,
		});
		const total = hosts[from]!.account.given.get(receiver) ?? 0;
		loans = [...loans, {
			from: nameOf(from, hosts[from]!.life), to, life, total,
		}];
	};

	const reserve = (index: number, tokens: number): boolean => {
		if (available(hosts[index]!.account) < tokens) {
			return true;
		}

		step(index, {type: 'reserved', tokens});
		change(index, {open: [...hosts[index]!.open, tokens]});
		spent += tokens;
		return spent <= mostPaid;
	};

	const settle = (index: number, pick: number, usedShare: number): void => {
		const {open} = hosts[index]!;
		const reserved = open[pick % Math.max(1, open.length)];
		if (reserved === undefined) {
			return;
		}

		const used = Math.floor(reserved * usedShare);
		step(index, {type: 'settled', reserved, used});
		change(index, {open: open.filter((_, i) => i !== pick % open.length)});
		spent -= reserved - used;
	};

	return {
		/** What the naive counter has counted, in tokens. */
		spent: () => spent,
		/** Plays one command. `false` when hosts spent what the naive counter would have refused. */
		play(command: WorldCommand): boolean {
			switch (command.type) {
				case 'read': {
					change(at(command.host), {known: stored});
					return true;
				}

				case 'draw': {
					write(at(command.host), command.tokens);
					return true;
				}

				case 'give_back': {
					const index = at(command.host);
					const {account, isWriting} = hosts[index]!;
					if (!isWriting) {
						step(index, {type: 'granted', total: account.granted - Math.min(command.tokens, Math.max(0, available(account)))});
						write(index, 0);
					}

					return true;
				}

				case 'write_lands': {
					const landing = latest(writes, command.pick);
					if (landing) {
						writes = writes.filter(entry => entry !== landing);
						land(landing, command.isAnswered);
					}

					return true;
				}

				case 'write_times_out': {
					change(at(command.host), {isWriting: false});
					return true;
				}

				case 'lend': {
					if (at(command.host) !== at(command.peer)) {
						lend(at(command.host), at(command.peer), command.tokens);
					}

					return true;
				}

				case 'loan_arrives': {
					const loan = latest(loans, command.pick);
					if (loan !== undefined && isForThisLife(loan)) {
						step(loan.to, {type: 'received', from: loan.from, total: loan.total});
					}

					return true;
				}

				case 'reserve': {
					return reserve(at(command.host), command.tokens);
				}

				case 'settle': {
					settle(at(command.host), command.pick, command.usedShare);
					return true;
				}

				case 'restart': {
					// What open requests of the dead life may have cost stays spent.
					change(at(command.host), newHost(hosts[at(command.host)]!.life + 1));
					return true;
				}

				case 'limit': {
					limit = command.tokens;
					version++;
					mostPaid = Math.max(mostPaid, limit);
					return true;
				}
			}
		},
	};
};
