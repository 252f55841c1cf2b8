import type {OpenTransfer} from './open-transfer.js';

type TransferRequest = {
	/** The name of the request's route. */
	readonly route: string;
	/** 0 for the most urgent requests. */
	readonly rank: number;
	/** The size of the body, in bytes; `undefined` where the head of the request does not state it. */
	readonly bodyBytes: number | undefined;
};

/** Decides which requests the link of this host has room for. */
export type LinkAdmission = {
	/** Admits a request, or returns `undefined` where the link has no room for it. */
	readonly admit: (request: TransferRequest) => OpenTransfer | undefined;
	/** What the link carries for requests, for the log: averages over about the last second, and the rate of the link. */
	readonly logFields: () => {readonly in_kbps: number; readonly out_kbps: number; readonly link_mbps: number} | undefined;
	readonly close: () => void;
};
