/** The software versions of one service that serve, or served a short time ago, as far as this host knows. */
export type VersionHistory = {
	/** The versions of the listed endpoints. */
	readonly listed: ReadonlySet<string>;
	/** Until when other versions may still have streams that callers take up, in monotonic ms: they were listed here, or peers tell of them. */
	readonly recent: ReadonlyMap<string, number>;
};
