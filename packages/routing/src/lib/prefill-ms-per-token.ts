/** The time in which an endpoint of typical pace prefills one prompt token, in ms. The pace of an endpoint scales it. */
export const prefillMsPerToken = 0.03;
