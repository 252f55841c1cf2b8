import type {Mesh, Tunnels} from '@deckwheel/mesh';
import type {HostNames} from '../choice/host-names.js';
import type {ListedPeer} from '../../adapter/listed-peer.js';

/** This host's links to its peers, and its list of peers. */
export type PeerLinks = {
	/** The links to peers; `undefined` until this host listens for peers. */
	readonly mesh: () => Mesh | undefined;
	/** The tunnels of this host; `undefined` until it listens for peers. */
	readonly tunnels: () => Tunnels | undefined;
	/** This host, as it is listed in the directory. */
	readonly self: () => ListedPeer;
	/** All other listed hosts, of every hall, reachable or not. */
	readonly others: () => readonly ListedPeer[];
	/** The listed peer whose incarnation has this name as a holder of rights. An unknown name makes this host read the directory again. */
	readonly peerOf: (holder: string) => ListedPeer | undefined;
	/** The hosts of this hall that are not under suspicion for a missing reply, this host first. The same array until it changes. */
	readonly hallPeers: () => readonly ListedPeer[];
	/** How many hosts are listed for this hall, reachable or not, this host included. */
	readonly hallSize: () => number;
	/** Whether the directory was read after the hosts that started together with this one had time to be listed. */
	readonly isPeerListKnown: () => boolean;
	/** This host and all listed hosts; `undefined` until `isPeerListKnown`. The same value until it changes. */
	readonly hostNames: () => HostNames | undefined;
	/** Adds a host that sent a message itself (`direct`) or that a peer reported (`reported`), until the directory is read again. */
	readonly noteHost: (peer: ListedPeer, how: 'direct' | 'reported') => void;
	/** Lists this host again in the directory, which may have lost its entry, and reads the directory. */
	readonly register: () => void;
	/** Notes that the peer at this address did not reply: it is left out of `hallPeers` for a few seconds, and the directory is read again. */
	readonly suspect: (address: string) => void;
	readonly close: () => Promise<void>;
};
