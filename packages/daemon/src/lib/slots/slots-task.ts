import type {
	Pair, PairMap, Replica, ReplicaMessage, SlotReply, SlotRequest,
} from '@deckwheel/ledger';

/** The task that owns this host's replicas of slots. */
export type SlotsTask = {
	/** Submits a request to this host's replica. Resolves once the reply may be known outside. */
	readonly submit: (slot: number, request: SlotRequest) => Promise<SlotReply>;
	/** Handles a message of the other host of a pair. */
	readonly onMessage: (from: string, message: ReplicaMessage) => void;
	readonly pairs: () => PairMap;
	readonly pairOf: (slot: number) => Pair | undefined;
	/** Names of the hosts that share a pair with this one. */
	readonly partners: () => ReadonlySet<string>;
	readonly replica: (slot: number) => Replica | undefined;
	/** Slots whose primary this host is. */
	readonly ownSlots: () => readonly number[];
	/** Takes up a newer map of pairs, as the store or a peer has it. */
	readonly adopt: (map: PairMap) => void;
	/** Looks after the pairs now. */
	readonly wake: () => void;
	readonly stop: () => Promise<void>;
};
