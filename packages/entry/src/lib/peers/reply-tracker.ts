/** Tracks whether replies of peers come in time. */
export type ReplyTracker = {
	readonly noteAnswered: () => void;
	/** Notes a request without a reply in time. `quietMs`: the time since anything came over the link to its peer, in ms; `undefined` without a link. */
	readonly noteUnanswered: (quietMs: number | undefined) => void;
	/** For how long no reply has come in time although peers are in reach, in ms; 0 where one came after the last request without, or no peer is in reach. */
	readonly lateMs: () => number;
};
