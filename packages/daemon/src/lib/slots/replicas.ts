import type {
	Replica, ReplicaEvent, ReplicaMessage, SlotReply, SlotRequest,
} from '@deckwheel/ledger';

/** This host's replicas of slots, and who waits for their replies. */
export type Replicas = {
	/** A replica that does nothing yet, where there is none. */
	readonly of: (slot: number) => Replica;
	readonly find: (slot: number) => Replica | undefined;
	readonly all: () => readonly Replica[];
	readonly step: (slot: number, event: ReplicaEvent) => void;
	readonly submit: (slot: number, request: SlotRequest) => Promise<SlotReply>;
	readonly onMessage: (from: string, message: ReplicaMessage) => void;
	/** Has primaries send everything again whose backup acknowledged nothing for long. */
	readonly resync: () => void;
};
