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
	readonly incarnation: number;
	readonly account: HostAccount;
	/** The stored object as this host last read it. */
	readonly lastRead: Stored | undefined;
	/** Whether the host waits for the reply to a write. */
	readonly isWriting: boolean;
	/** Reserved amounts of open requests. */
	readonly open: readonly number[];
};

type Write = {readonly host: number; readonly incarnation: number; readonly rights: RightsObject; readonly revision: number; readonly granted: number};
type Loan = {readonly from: string; readonly to: number; readonly incarnation: number; readonly total: number};

/** One step of a simulation. `host` and `peer` are taken modulo the number of hosts; `pick` counts back from the newest entry. Amounts are tokens. */
export type SimulationCommand =
	| {readonly type: 'read'; readonly host: number}
	| {readonly type: 'draw'; readonly host: number; readonly tokens: number}
	| {readonly type: 'give_back'; readonly host: number; readonly tokens: number}
	/** A write reaches the store. Its reply is lost unless `isAnswered`. */
	| {readonly type: 'write_lands'; readonly pick: number; readonly isAnswered: boolean}
	/** The writer gives up waiting; the write may still reach the store later. */
	| {readonly type: 'write_times_out'; readonly host: number}
	| {readonly type: 'lend'; readonly host: number; readonly peer: number; readonly tokens: number}
	/** A message about a loan arrives, for the first time or repeated. */
	| {readonly type: 'loan_arrives'; readonly pick: number}
	| {readonly type: 'reserve'; readonly host: number; readonly tokens: number}
	| {readonly type: 'settle'; readonly host: number; readonly pick: number; readonly usedShare: number}
	| {readonly type: 'restart'; readonly host: number}
	| {readonly type: 'limit'; readonly tokens: number};

/** Picks an entry, counted back from the newest. Old messages are delivered more rarely than new ones, but still are. */
const pickFromNewest = <T>(entries: readonly T[], pick: number): T | undefined => entries.at(-1 - (pick % Math.max(1, entries.length)));

const newHost = (incarnation: number): Host => ({
	incarnation, account: emptyHostAccount, lastRead: undefined, isWriting: false, open: [],
});

/**
Creates a simulation of hosts that draw, lend and spend rights and restart, with one store, beside a naive counter of what all hosts spend.

Writes may reach the store late or be retried. Replies and messages about loans may be lost, late, or repeated.

@param hostCount The number of hosts.
@param initialLimit Prepaid tokens of the budget at the start.
*/
export const createRightsSimulation = (hostCount: number, initialLimit: number) => {
	let limit = initialLimit;
	let version = 1;
	let highestLimit = initialLimit;
	let stored: Stored = {rights: {budgets: {}}, revision: 0};
	let hosts: readonly Host[] = Array.from({length: hostCount}, () => newHost(0));
	let writes: readonly Write[] = [];
	let loans: readonly Loan[] = [];
	/** The naive counter: tokens that are spent, and those that open requests may still spend. */
	let spent = 0;

	const hostIndex = (index: number): number => index % hostCount;
	const nameOf = (index: number, incarnation: number): string => `host-${index}#${incarnation}`;
	const updateHost = (index: number, next: Partial<Host>): void => {
		hosts = hosts.map((host, i) => i === index ? {...host, ...next} : host);
	};

	const applyEvent = (index: number, event: Parameters<typeof stepAccount>[1]): void => {
		updateHost(index, {account: stepAccount(hosts[index]!.account, event)});
	};

	const isForCurrentIncarnation = ({to, incarnation}: Loan): boolean => hosts[to]!.incarnation === incarnation;

	const write = (index: number, tokens: number): void => {
		const {lastRead, account, incarnation, isWriting} = hosts[index]!;
		if (!lastRead || isWriting) {
			return;
		}

		const holder = nameOf(index, incarnation);
		const prepared = prepareRights(lastRead.rights, {
			host: `host-${index}`, holder, limits: new Map([[budget, limit]]), version,
		});
		const plan = planDraw(prepared, holder, 0, [{
			budget, granted: account.granted, transferred: transferred(account), settled: account.settled, billed: account.settled, rate: 0, wants: () => tokens,
		}]);
		if (plan.type === 'write') {
			writes = [...writes, {
				host: index, incarnation, rights: plan.rights, revision: lastRead.revision, granted: plan.grants[0]!.granted,
			}];
			updateHost(index, {isWriting: true});
		}
	};

	const landWrite = ({host, incarnation, rights, revision, granted}: Write, isAnswered: boolean): void => {
		const isAccepted = revision === stored.revision;
		if (isAccepted) {
			stored = {rights, revision: revision + 1};
		}

		const writer = hosts[host]!;
		if (!isAnswered || writer.incarnation !== incarnation || !writer.isWriting) {
			return;
		}

		updateHost(host, {lastRead: stored, isWriting: false});
		if (isAccepted) {
			applyEvent(host, {type: 'granted', total: granted});
		}
	};

	const lend = (from: number, to: number, tokens: number): void => {
		const {incarnation} = hosts[to]!;
		const receiver = nameOf(to, incarnation);
		applyEvent(from, {
			type: 'lent', to: receiver, tokens, share: 1,
		});
		const total = hosts[from]!.account.given.get(receiver) ?? 0;
		loans = [...loans, {
			from: nameOf(from, hosts[from]!.incarnation), to, incarnation, total,
		}];
	};

	const reserve = (index: number, tokens: number): boolean => {
		if (available(hosts[index]!.account) < tokens) {
			return true;
		}

		applyEvent(index, {type: 'reserved', tokens});
		updateHost(index, {open: [...hosts[index]!.open, tokens]});
		spent += tokens;
		return spent <= highestLimit;
	};

	const settle = (index: number, pick: number, usedShare: number): void => {
		const {open} = hosts[index]!;
		const reserved = open[pick % Math.max(1, open.length)];
		if (reserved === undefined) {
			return;
		}

		const used = Math.floor(reserved * usedShare);
		applyEvent(index, {type: 'settled', reserved, used});
		updateHost(index, {open: open.filter((_, i) => i !== pick % open.length)});
		spent -= reserved - used;
	};

	return {
		/** The value of the naive counter, in tokens. */
		spent: () => spent,
		/** Plays one command. Returns `false` if hosts spent what the naive counter would have refused. */
		play(command: SimulationCommand): boolean {
			switch (command.type) {
				case 'read': {
					updateHost(hostIndex(command.host), {lastRead: stored});
					return true;
				}

				case 'draw': {
					write(hostIndex(command.host), command.tokens);
					return true;
				}

				case 'give_back': {
					const index = hostIndex(command.host);
					const {account, isWriting} = hosts[index]!;
					if (!isWriting) {
						applyEvent(index, {type: 'granted', total: account.granted - Math.min(command.tokens, Math.max(0, available(account)))});
						write(index, 0);
					}

					return true;
				}

				case 'write_lands': {
					const landing = pickFromNewest(writes, command.pick);
					if (landing) {
						writes = writes.filter(entry => entry !== landing);
						landWrite(landing, command.isAnswered);
					}

					return true;
				}

				case 'write_times_out': {
					updateHost(hostIndex(command.host), {isWriting: false});
					return true;
				}

				case 'lend': {
					if (hostIndex(command.host) !== hostIndex(command.peer)) {
						lend(hostIndex(command.host), hostIndex(command.peer), command.tokens);
					}

					return true;
				}

				case 'loan_arrives': {
					const loan = pickFromNewest(loans, command.pick);
					if (loan !== undefined && isForCurrentIncarnation(loan)) {
						applyEvent(loan.to, {type: 'received', from: loan.from, total: loan.total});
					}

					return true;
				}

				case 'reserve': {
					return reserve(hostIndex(command.host), command.tokens);
				}

				case 'settle': {
					settle(hostIndex(command.host), command.pick, command.usedShare);
					return true;
				}

				case 'restart': {
					// What open requests of the ended incarnation may have cost stays spent.
					updateHost(hostIndex(command.host), newHost(hosts[hostIndex(command.host)]!.incarnation + 1));
					return true;
				}

				case 'limit': {
					limit = command.tokens;
					version++;
					highestLimit = Math.max(highestLimit, limit);
					return true;
				}
			}
		},
	};
};
