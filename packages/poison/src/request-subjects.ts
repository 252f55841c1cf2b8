/** What crashes of endpoints under one request are held against. */
export type RequestSubjects = {
	/** Computes the request's fingerprint, which is the same each time that its caller sends it. */
	readonly fingerprint: () => string;
	/** The ids of the parts of its prompt that other requests may share. The part that is the request's own is not among them. */
	readonly parts: readonly string[];
};
