/** What is known of a stream that a caller takes up, by its request alone. */
export type TakenUp = {
	/** The services of the route. */
	readonly services: readonly string[];
	/** The service at which the stream began unless another origin is known. */
	readonly likely: string;
	/** Whether the caller has events of it. If not, the store is not asked: the stream may begin anew. */
	readonly hasEvents: boolean;
};
