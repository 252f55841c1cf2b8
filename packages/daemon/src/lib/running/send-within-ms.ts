/** How long a runner may take from its claim to sending, in ms. Chosen without a measurement. */
export const sendWithinMs = 3000;
