import type {Mesh} from '@deckwheel/mesh';
import type {HostNames} from '../choice/host-names.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';

/** This host's links to its peers. */
export type PeerLinks = {
	/** `undefined` until this host is listed. */
	readonly mesh: () => Mesh | undefined;
	/** This host, as it is listed. */
	readonly self: () => ListedPeer;
	/** All other hosts that are listed, of every hall, in reach or not. */
	readonly others: () => readonly ListedPeer[];
	/** A peer by its name as a holder. An unknown one has the directory read again. */
	readonly peerOf: (holder: string) => ListedPeer | undefined;
	/** Hosts of this hall that were in reach lately, this one among them. The same array until it changes. */
	readonly hallPeers: () => readonly ListedPeer[];
	/** Hosts listed for this hall, in reach or not, this one among them. */
	readonly hallSize: () => number;
	/** Whether the directory was read after all hosts that started together had time to be listed. */
	readonly isPeerListKnown: () => boolean;
	/** This host and all that are listed; `undefined` until the directory was read after all hosts that started together had time to be listed. The same value until it changes. */
	readonly hostNames: () => HostNames | undefined;
	/** Takes in a host that showed itself (`direct`), or that a peer reported, until the directory is read again. */
	readonly noteHost: (peer: ListedPeer, how: 'direct' | 'reported') => void;
	/** Lists this host in the directory again, which may have lost it, and reads the directory. */
	readonly register: () => void;
	/** Notes that a peer did not answer: for a while it is not counted on. */
	readonly suspect: (address: string) => void;
	readonly close: () => Promise<void>;
};
